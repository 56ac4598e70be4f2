package org.fallturn.core.limits;

import java.util.function.IntConsumer;

/**
 * The place of the present in a ring of buckets over a sliding window: up to one bucket more than
 * the window is included, never less. Callers see to it that one thread calls at a time.
 */
final class SlidingBuckets {

  private final long bucketNanos;
  private final int count;
  private final IntConsumer clear;
  private long newest;
  private boolean begun;

  /**
   * A ring in which nothing has happened.
   *
   * @param clear empties the bucket at a place, as its time has passed
   */
  SlidingBuckets(long windowNanos, int buckets, IntConsumer clear) {
    this.bucketNanos = windowNanos / buckets;
    this.count = buckets + 1;
    this.clear = clear;
  }

  /** How many buckets there are. */
  int count() {
    return count;
  }

  /** Clears the buckets that have passed since the last call; the place of the newest. */
  int moveTo(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    if (!begun) {
      begun = true;
      newest = bucket;
    }
    long passed = Math.min(bucket - newest, count);
    for (long step = 0; step < passed; step++) {
      clear.accept(Math.floorMod(bucket - step, count));
    }
    newest = Math.max(newest, bucket);
    return place(0);
  }

  /** The place of the bucket so many before the newest. */
  int place(int back) {
    return Math.floorMod(newest - back, count);
  }
}
