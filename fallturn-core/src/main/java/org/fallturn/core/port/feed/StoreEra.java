package org.fallturn.core.port.feed;

import java.time.Duration;

/**
 * An era of the platform's store, as far as a node knows it.
 *
 * @param number number of the era; 0 from a store that names none
 * @param age how long the era has lasted at least; it may have begun earlier
 */
public record StoreEra(long number, Duration age) {

  /**
   * Age of an era before which nothing was written: longer than any lease or bound of the settings
   * lasts.
   */
  public static final Duration LONG_AGO = Duration.ofHours(1);

  /**
   * Returns whether everything that was written in a time up to now is still in the store. A store
   * that names no era loses nothing.
   */
  public boolean holdsWritesOf(Duration time) {
    return number == 0 || age.compareTo(time) >= 0;
  }
}
