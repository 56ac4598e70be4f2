package org.fallturn.core.usage;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.fallturn.core.port.feed.StoreEra;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;

/**
 * Agrees with the other nodes on the counts that are reported for a window: those that the first
 * node wrote to the store.
 *
 * <p>Invariant: no two nodes ever agree to different counts of a window, whatever the store loses,
 * and no node changes its mind. A store that was restored from a copy has lost the rows of the
 * windows that were fixed since the copy, and their counts may have been reported. A window that
 * could have been fixed before the present era is therefore never fixed anew; its counts are known
 * only to the nodes that agreed to them then, and from a row that was written in this era. For any
 * other node such a window stays unreported: a missing report is better than a second one.
 *
 * <p>Only one thread may call.
 */
public final class UsageAgreement {

  /**
   * The clocks of two nodes differ by less than this: {@link org.fallturn.core.clock.WallClock}
   * passes over the steps that the time of day takes back.
   */
  private static final Duration CLOCK_DIFFERENCE = Duration.ofSeconds(2);

  /** Windows that are reported at the same time are far fewer. */
  private static final int KEPT_WINDOWS = 16;

  private final UsageStore store;
  private final UsageWindows windows;
  private final LongSupplier unixMillis;
  private final Map<Long, UsageReport> agreed =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, UsageReport> eldest) {
          return size() > KEPT_WINDOWS;
        }
      };

  /**
   * Creates an agreement that knows no counts.
   *
   * @param unixMillis present Unix time in ms
   */
  public UsageAgreement(UsageStore store, UsageWindows windows, LongSupplier unixMillis) {
    this.store = store;
    this.windows = windows;
    this.unixMillis = unixMillis;
  }

  /**
   * Agrees on the counts of a window, which are the proposed ones unless others are fixed already.
   *
   * @param era present era of the store
   * @return the counts, which every report of the window must contain; empty when they are not
   *     known here and never will be
   * @throws StoreException when no usable answer came; the counts may have been fixed
   */
  public Optional<UsageReport> agree(UsageReport proposed, StoreEra era) throws StoreException {
    long window = proposed.window();
    if (agreed.containsKey(window)) {
      return Optional.of(agreed.get(window));
    }
    boolean nothingLost = era.holdsWritesOf(sinceFirstFixed(window));
    UsageReading reading = read(window, era);
    boolean isFree = reading.ofWindow(window).isEmpty() && !reading.isOfLaterWindowThan(window);
    if (isFree && nothingLost) {
      if (fix(proposed, era, reading.position())) {
        return Optional.of(keep(proposed));
      }
      reading = read(window, era);
    }
    return reading
        .ofWindow(window)
        .filter(fixed -> nothingLost || fixed.era() == era.number())
        .map(fixed -> keep(fixed.report()));
  }

  /** Returns the longest time for which any node may have had the window's counts fixed. */
  private Duration sinceFirstFixed(long window) {
    return Duration.ofMillis(unixMillis.getAsLong() - windows.settledMillis(window))
        .plus(CLOCK_DIFFERENCE);
  }

  private UsageReading read(long window, StoreEra era) throws StoreException {
    UsageReading reading = store.read(window);
    expectEra(era, reading.position());
    return reading;
  }

  /** Returns whether the counts were written; otherwise another node has written the row. */
  private boolean fix(UsageReport proposed, StoreEra era, StorePosition read)
      throws StoreException {
    Optional<StorePosition> written =
        store.write(new FixedUsage(proposed, era.number()), read.version());
    if (written.isPresent()) {
      expectEra(era, written.get());
    }
    return written.isPresent();
  }

  private static void expectEra(StoreEra era, StorePosition position) throws StoreException {
    if (position.era() != era.number()) {
      throw new StoreException("the store was restored meanwhile", true, null);
    }
  }

  private UsageReport keep(UsageReport report) {
    agreed.put(report.window(), report);
    return report;
  }
}
