package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;
import org.fallturn.rehearsal.emulator.OddRowText;

/**
 * Entries of another writer among those of the engines, with values that no engine writes. A sound
 * engine leaves meanwhile, so that a gateway shows which follows the list no more. One thread
 * begins and ends this.
 */
final class SoakOddEntries {

  /** From when the entry is written until a sound engine leaves. */
  private static final Duration UNTIL_LEAVING = Duration.ofMillis(300);

  private final EmulatedPlatform platform;
  private final EmulatedEngine leaver;
  private final EmulatedEngine overwritten;
  private final Map<Integer, String> written = new HashMap<>();
  private final Map<Integer, Long> leavingSince = new HashMap<>();
  private final List<SoakRecord.Drain> drains = new CopyOnWriteArrayList<>();

  /**
   * No entries yet.
   *
   * @param leaver sound engine that leaves beside each entry
   * @param overwritten sound engine over whose entry some are written
   */
  SoakOddEntries(EmulatedPlatform platform, EmulatedEngine leaver, EmulatedEngine overwritten) {
    this.platform = platform;
    this.leaver = leaver;
    this.overwritten = overwritten;
  }

  /** An entry that no engine keeps is written, and a sound engine leaves. */
  void begin(int target) {
    String id = "odd-" + target;
    written.put(target, id);
    List<String> rows = OddRowText.rows();
    platform.listStrange(id, rows.get(Math.floorMod(target, rows.size())));
    after(UNTIL_LEAVING, () -> leave(target));
  }

  /**
   * An entry over that of a sound engine says that it leaves in 292 million years, after one that
   * says the same and that it serves; and another sound engine leaves.
   */
  void beginOver(int target) {
    written.put(target, overwritten.id());
    platform.listStrange(overwritten.id(), OddRowText.endingLate(overwritten, false));
    after(
        UNTIL_LEAVING,
        () -> {
          platform.listStrange(overwritten.id(), OddRowText.endingLate(overwritten, true));
          leave(target);
        });
  }

  private synchronized void leave(int target) {
    platform.list(leaver, true);
    leavingSince.put(target, System.nanoTime());
  }

  /** The entry goes, and both sound engines serve. */
  synchronized void end(int target) {
    Long from = leavingSince.remove(target);
    if (from != null) {
      drains.add(new SoakRecord.Drain(leaver.id(), from, System.nanoTime()));
    }
    String id = written.remove(target);
    if (id.equals(overwritten.id())) {
      platform.list(overwritten, false);
    } else {
      platform.unlist(id);
    }
    platform.list(leaver, false);
  }

  /** When sound engines left. */
  List<SoakRecord.Drain> drains() {
    return List.copyOf(drains);
  }

  private static void after(Duration delay, Runnable action) {
    CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS).execute(action);
  }
}
