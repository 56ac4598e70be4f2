package org.fallturn.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * The number of events within a sliding window, counted in buckets. It covers the window and up to
 * one bucket more, never less. The caller must make sure that one thread calls at a time.
 */
public final class SlidingCount {

  private final SlidingBuckets buckets;
  private final int[] counts;

  /**
   * Creates a count of no events.
   *
   * @param windowNanos length of the window
   * @param buckets number of buckets that the window is divided into
   */
  public SlidingCount(long windowNanos, int buckets) {
    this.buckets = new SlidingBuckets(windowNanos, buckets, this::clear);
    this.counts = new int[this.buckets.count()];
  }

  /**
   * Creates a window of the given length, in buckets of 100 ms.
   *
   * @param tenths length of the window in tenths of a second
   */
  static SlidingCount ofTenths(int tenths) {
    return new SlidingCount(TimeUnit.MILLISECONDS.toNanos(100L * tenths), tenths);
  }

  /** Counts one event. */
  public void add(long nowNanos) {
    counts[buckets.advanceTo(nowNanos)]++;
  }

  /** The number of events within the window. */
  public int sum(long nowNanos) {
    buckets.advanceTo(nowNanos);
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }

  /**
   * The number of events within some buckets of the window.
   *
   * @param included number of buckets to count; one more is counted, so that never less than their
   *     time is covered
   * @param skipped number of newest buckets to leave out
   */
  int sum(int included, int skipped, long nowNanos) {
    buckets.advanceTo(nowNanos);
    int sum = 0;
    for (int back = skipped; back <= skipped + included && back < counts.length; back++) {
      sum += counts[buckets.index(back)];
    }
    return sum;
  }

  private void clear(int index) {
    counts[index] = 0;
  }
}
