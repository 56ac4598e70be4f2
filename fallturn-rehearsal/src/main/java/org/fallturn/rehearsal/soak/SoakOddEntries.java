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

/**
 * Entries of another writer among those of the engines, with values that no engine writes. A sound
 * engine leaves meanwhile, so that a gateway shows which follows the list no more. One thread
 * begins and ends this.
 */
final class SoakOddEntries {

  private static final int LEVELS = 100_000;
  private static final int DIGITS = 2_000;
  private static final int LONG_TEXT = 60_000;

  /** From when the entry is written until a sound engine leaves. */
  private static final Duration UNTIL_LEAVING = Duration.ofMillis(300);

  private static final String ENTRY =
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"zone-1\",\"version\":%s,\"slots\":%s,"
          + "\"state\":\"%s\",\"stage\":\"decode\",\"leaves_ms\":%s,\"spot\":%s}";

  /** Nothing listens there. */
  private static final String ADDRESS = "127.0.0.1:1";

  private static final String SERVICE = EmulatedPlatform.MODEL_SERVICE;
  private static final String VERSION = "\"v1\"";

  private static final List<String> ENTRIES =
      List.of(
          entry(SERVICE, ADDRESS, VERSION, "8", "0", nested()),
          entry(SERVICE, ADDRESS, VERSION, "9".repeat(DIGITS), "0", "false"),
          entry(SERVICE, ADDRESS, VERSION, "8", "9".repeat(DIGITS), "false"),
          entry(SERVICE, ADDRESS, VERSION, "1e400", "0", "false"),
          entry(SERVICE, ADDRESS, VERSION, "8", "1e400", "false"),
          entry(SERVICE, ADDRESS, "1e400", "2147483647", "0", "false"),
          entry(SERVICE, "127.0.0.1:70000", VERSION, "8", "0", "false"),
          entry(SERVICE, "127.0.0.1:-1", VERSION, "8", "0", "false"),
          entry(SERVICE, "127.0.0.1:99999999999", VERSION, "8", "0", "false"),
          entry("s".repeat(LONG_TEXT), ADDRESS, VERSION, "8", "0", "false"),
          entry(SERVICE, ADDRESS, "\"" + "v".repeat(LONG_TEXT) + "\"", "8", "0", "false"),
          nested(),
          "{\"service\":\"" + SERVICE + "\"}",
          "\u0000\u0001\ufffd{",
          "");

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

  private static String entry(
      String service, String address, String version, String slots, String leaves, String spot) {
    return ENTRY.formatted(service, address, version, slots, "ready", leaves, spot);
  }

  private static String nested() {
    return "[".repeat(LEVELS) + "]".repeat(LEVELS);
  }

  /** An entry that no engine keeps is written, and a sound engine leaves. */
  void begin(int target) {
    String id = "odd-" + target;
    written.put(target, id);
    platform.listStrange(id, ENTRIES.get(Math.floorMod(target, ENTRIES.size())));
    after(UNTIL_LEAVING, () -> leave(target));
  }

  /**
   * An entry over that of a sound engine says that it leaves in 292 million years, after one that
   * says the same and that it serves; and another sound engine leaves.
   */
  void beginOver(int target) {
    String ready = overwritten.row(false);
    String odd = ready.substring(0, ready.length() - 1) + ",\"leaves_ms\":" + Long.MAX_VALUE + "}";
    written.put(target, overwritten.id());
    platform.listStrange(overwritten.id(), odd);
    after(
        UNTIL_LEAVING,
        () -> {
          platform.listStrange(overwritten.id(), odd.replace("\"ready\"", "\"draining\""));
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
