package org.fallturn.core.peers;

import java.util.concurrent.TimeUnit;

/**
 * How many nodes there are, counted with care: a bound that is divided by the number must not rise
 * since some nodes are not heard for a while. The dispatch thread counts; any thread may read.
 */
final class NodeCount {

  /** Longer than a message of a node that has gone to another relay is believed. */
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long the highest count holds. */
  private static final long HIGHEST_NANOS = TimeUnit.SECONDS.toNanos(60);

  private int settled;
  private int least = Integer.MAX_VALUE;
  private long countingSinceNanos;
  private volatile int highest;
  private long highestNanos;

  NodeCount(long beganNanos) {
    this.countingSinceNanos = beganNanos;
  }

  /** The highest count of the last minute; 0 before the first. */
  int highest() {
    return highest;
  }

  /** So many nodes are heard now, this one included. */
  void onHeard(int count, long nowNanos) {
    onPeerReport(settled(count, nowNanos), nowNanos);
  }

  /** Another node has counted so many. */
  void onPeerReport(int count, long nowNanos) {
    if (count >= highest || nowNanos - highestNanos >= HIGHEST_NANOS) {
      highest = count;
      highestNanos = nowNanos;
    }
  }

  /**
   * The least count of the last whole period, since a node that goes from one relay to another may
   * count twice for a while; the present one before the first period is over.
   */
  private int settled(int count, long nowNanos) {
    if (nowNanos - countingSinceNanos >= SETTLE_NANOS) {
      settled = least;
      least = count;
      countingSinceNanos = nowNanos;
    }
    least = Math.min(least, count);
    return settled == 0 ? count : settled;
  }
}
