package org.fallturn.core.usage;

import java.time.Duration;

/**
 * Windows of Unix time, numbered from its beginning.
 *
 * @param length how long each lasts
 * @param late how long after its end the report of a window is due
 */
public record UsageWindows(Duration length, Duration late) {

  /** Rejects windows without a length. */
  public UsageWindows {
    if (length.toMillis() <= 0) {
      throw new IllegalArgumentException("a usage window must last some time, but has " + length);
    }
  }

  /** The window of a time. */
  public long at(long unixMillis) {
    return Math.floorDiv(unixMillis, length.toMillis());
  }

  /** Unix time in ms at which a window has ended. */
  public long endMillis(long window) {
    return (window + 1) * length.toMillis();
  }

  /** Unix time in ms until which its report is in time. */
  public long dueMillis(long window) {
    return endMillis(window) + late.toMillis();
  }
}
