package org.fallturn.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * How often something happened within a sliding window, counted in buckets: up to one bucket more
 * than the window is included, never less. Callers see to it that one thread calls at a time.
 */
public final class SlidingCount {

  private final SlidingBuckets buckets;
  private final int[] counts;

  /**
   * Nothing has happened yet.
   *
   * @param windowNanos length of the window
   * @param buckets into how many parts it is divided
   */
  public SlidingCount(long windowNanos, int buckets) {
    this.buckets = new SlidingBuckets(windowNanos, buckets, this::clear);
    this.counts = new int[this.buckets.count()];
  }

  /** A window in buckets of 100 ms. */
  static SlidingCount ofTenths(int tenths) {
    return new SlidingCount(TimeUnit.MILLISECONDS.toNanos(100L * tenths), tenths);
  }

  /** It happens once. */
  public void add(long nowNanos) {
    counts[buckets.moveTo(nowNanos)]++;
  }

  /** How often it happened within the window. */
  public int sum(long nowNanos) {
    buckets.moveTo(nowNanos);
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }

  /** How often it happened within so many buckets, the newest of which are left out. */
  int sum(int taken, int leftOut, long nowNanos) {
    buckets.moveTo(nowNanos);
    int sum = 0;
    for (int back = leftOut; back <= leftOut + taken && back < counts.length; back++) {
      sum += counts[buckets.place(back)];
    }
    return sum;
  }

  private void clear(int place) {
    counts[place] = 0;
  }
}
