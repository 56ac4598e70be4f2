package org.fallturn.core.limits;

import java.util.Arrays;

/**
 * The highest value that was seen within a sliding window, kept in buckets: up to one bucket more
 * than the window is included, never less. Callers see to it that one thread calls at a time.
 */
final class SlidingPeak {

  private final SlidingBuckets buckets;
  private final double[] peaks;

  SlidingPeak(long windowNanos, int buckets) {
    this.buckets = new SlidingBuckets(windowNanos, buckets, this::clear);
    this.peaks = new double[this.buckets.count()];
  }

  private void clear(int place) {
    peaks[place] = 0;
  }

  /** Takes the value of now; the highest within the window, this one included. */
  double seen(double value, long nowNanos) {
    int place = buckets.moveTo(nowNanos);
    peaks[place] = Math.max(peaks[place], value);
    return Arrays.stream(peaks).max().orElse(0);
  }
}
