package org.fallturn.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * How often something happened within a sliding window, counted in buckets: up to one bucket more
 * than the window is included, never less. Callers see to it that one thread calls at a time.
 */
public final class SlidingCount {

  private final long bucketNanos;
  private final int[] counts;
  private long newestBucket;
  private boolean begun;

  /**
   * Nothing has happened yet.
   *
   * @param windowNanos length of the window
   * @param buckets into how many parts it is divided
   */
  public SlidingCount(long windowNanos, int buckets) {
    this.bucketNanos = windowNanos / buckets;
    this.counts = new int[buckets + 1];
  }

  /** A window in buckets of 100 ms. */
  static SlidingCount ofTenths(int tenths) {
    return new SlidingCount(TimeUnit.MILLISECONDS.toNanos(100L * tenths), tenths);
  }

  /** It happens once. */
  public void add(long nowNanos) {
    counts[moveTo(nowNanos)]++;
  }

  /** How often it happened within the window. */
  public int sum(long nowNanos) {
    moveTo(nowNanos);
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }

  /** How often it happened within so many buckets, the newest of which are left out. */
  int sum(int buckets, int leftOut, long nowNanos) {
    moveTo(nowNanos);
    int sum = 0;
    for (int back = leftOut; back <= leftOut + buckets && back < counts.length; back++) {
      sum += counts[Math.floorMod(newestBucket - back, counts.length)];
    }
    return sum;
  }

  /** Clears the buckets that have passed since the last call; the place of the newest. */
  private int moveTo(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    if (!begun) {
      begun = true;
      newestBucket = bucket;
    }
    long passed = Math.min(bucket - newestBucket, counts.length);
    for (long step = 0; step < passed; step++) {
      counts[Math.floorMod(bucket - step, counts.length)] = 0;
    }
    newestBucket = Math.max(newestBucket, bucket);
    return Math.floorMod(newestBucket, counts.length);
  }
}
