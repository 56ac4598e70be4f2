package org.fallturn.core.usage;

import java.time.Duration;

/**
 * Division of Unix time into windows of equal length, numbered from 0 at its epoch.
 *
 * @param length length of a window
 * @param late time from the end of a window until its report is due
 */
public record UsageWindows(Duration length, Duration late) {

  /**
   * Delay from the end of a window to its report. In this time, requests that ended at once are
   * counted and each node publishes its sums twice more. The delay leaves enough time for another
   * node to take over the reporting, which takes 6 s.
   */
  private static final Duration SETTLE_DELAY = Duration.ofMillis(2_600);

  /** Rejects a length of less than 1 ms. */
  public UsageWindows {
    if (length.toMillis() <= 0) {
      throw new IllegalArgumentException("a usage window must last some time, but has " + length);
    }
  }

  /** Returns the number of the window that contains a Unix time in ms. */
  public long at(long unixMillis) {
    return Math.floorDiv(unixMillis, length.toMillis());
  }

  /** Returns the Unix time in ms at which a window ends. */
  public long endMillis(long window) {
    return (window + 1) * length.toMillis();
  }

  /** Returns the Unix time in ms from which on a window is reported. */
  public long settledMillis(long window) {
    return endMillis(window) + SETTLE_DELAY.toMillis();
  }

  /** Returns the Unix time in ms by which the report of a window is due. */
  public long dueMillis(long window) {
    return endMillis(window) + late.toMillis();
  }

  /**
   * Returns the Unix time in ms from which on a window is no longer reported. Where reports are due
   * before counts settle, there is the length of a window to send them.
   */
  public long overdueMillis(long window) {
    return Math.max(dueMillis(window), settledMillis(window) + length.toMillis());
  }
}
