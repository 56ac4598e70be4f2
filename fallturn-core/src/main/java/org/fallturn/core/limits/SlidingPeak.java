package org.fallturn.core.limits;

import java.util.Arrays;

/**
 * The highest value within a sliding window, kept in buckets. It covers the window and up to one
 * bucket more, never less. The caller must make sure that one thread calls at a time.
 */
final class SlidingPeak {

  private final SlidingBuckets buckets;
  private final double[] peaks;

  SlidingPeak(long windowNanos, int buckets) {
    this.buckets = new SlidingBuckets(windowNanos, buckets, this::clear);
    this.peaks = new double[this.buckets.count()];
  }

  private void clear(int index) {
    peaks[index] = 0;
  }

  /** Records the present value and returns the highest one within the window. */
  double update(double value, long nowNanos) {
    int index = buckets.advanceTo(nowNanos);
    peaks[index] = Math.max(peaks[index], value);
    return Arrays.stream(peaks).max().orElse(0);
  }
}
