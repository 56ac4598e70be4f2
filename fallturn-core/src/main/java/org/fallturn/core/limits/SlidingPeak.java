package org.fallturn.core.limits;

import java.util.Arrays;

/**
 * The highest value that was seen within a sliding window, kept in buckets: up to one bucket more
 * than the window is included, never less. Callers see to it that one thread calls at a time.
 */
final class SlidingPeak {

  private final long bucketNanos;
  private final double[] peaks;
  private long newestBucket;
  private boolean begun;

  SlidingPeak(long windowNanos, int buckets) {
    this.bucketNanos = windowNanos / buckets;
    this.peaks = new double[buckets + 1];
  }

  /** Takes the value of now; the highest within the window, this one included. */
  double seen(double value, long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    if (!begun) {
      begun = true;
      newestBucket = bucket;
    }
    long passed = Math.min(bucket - newestBucket, peaks.length);
    for (long step = 0; step < passed; step++) {
      peaks[Math.floorMod(bucket - step, peaks.length)] = 0;
    }
    newestBucket = Math.max(newestBucket, bucket);
    int place = Math.floorMod(newestBucket, peaks.length);
    peaks[place] = Math.max(peaks[place], value);
    return Arrays.stream(peaks).max().orElse(0);
  }
}
