package org.fallturn.core.limits;

import java.util.function.IntConsumer;

/**
 * The position of the present time in a ring of buckets over a sliding window. The ring covers the
 * window and up to one bucket more, never less. The caller must make sure that one thread calls at
 * a time.
 */
final class SlidingBuckets {

  private final long bucketNanos;
  private final int count;
  private final IntConsumer clear;
  private long newestBucket;
  private boolean started;

  /**
   * Creates an empty ring.
   *
   * @param windowNanos length of the window
   * @param buckets number of buckets that the window is divided into
   * @param clear empties the bucket at an index once its time has passed
   */
  SlidingBuckets(long windowNanos, int buckets, IntConsumer clear) {
    this.bucketNanos = windowNanos / buckets;
    this.count = buckets + 1;
    this.clear = clear;
  }

  /** The number of buckets in the ring. */
  int count() {
    return count;
  }

  /**
   * Clears the buckets whose time has passed since the last call.
   *
   * @return the index of the newest bucket
   */
  int advanceTo(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    if (!started) {
      started = true;
      newestBucket = bucket;
    }
    long passed = Math.min(bucket - newestBucket, count);
    for (long step = 0; step < passed; step++) {
      clear.accept(Math.floorMod(bucket - step, count));
    }
    newestBucket = Math.max(newestBucket, bucket);
    return index(0);
  }

  /** Returns the index of the bucket that lies so many buckets before the newest. */
  int index(int back) {
    return Math.floorMod(newestBucket - back, count);
  }
}
