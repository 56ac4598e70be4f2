package org.fallturn.core.peers;

import java.util.concurrent.TimeUnit;

/**
 * A conservative count of the nodes. A bound that is divided by it must not rise only because some
 * nodes are not heard for a while, so the highest recent count holds. The dispatch thread counts;
 * any thread may read.
 */
final class NodeCount {

  /**
   * The period of which the lowest count is taken: longer than a message of a node that has changed
   * its relay still counts.
   */
  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long the highest count holds. */
  private static final long HIGHEST_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(60);

  private int stableCount;
  private int lowestInPeriod = Integer.MAX_VALUE;
  private long periodStartNanos;
  private volatile int highest;
  private long highestNanos;

  NodeCount(long nowNanos) {
    this.periodStartNanos = nowNanos;
  }

  /** The highest count of the last minute; 0 before the first. */
  int highest() {
    return highest;
  }

  /** Handles the number of nodes that are heard now, including this one. */
  void onHeard(int count, long nowNanos) {
    onPeerReport(stableCount(count, nowNanos), nowNanos);
  }

  /** Handles the number of nodes that another node counted. */
  void onPeerReport(int count, long nowNanos) {
    if (count >= highest || nowNanos - highestNanos >= HIGHEST_LIFETIME_NANOS) {
      highest = count;
      highestNanos = nowNanos;
    }
  }

  /**
   * The lowest count of the last complete period, since a node that changes its relay may count
   * twice for a while. Before the first period is over, the present count.
   */
  private int stableCount(int count, long nowNanos) {
    if (nowNanos - periodStartNanos >= PERIOD_NANOS) {
      stableCount = lowestInPeriod;
      lowestInPeriod = count;
      periodStartNanos = nowNanos;
    }
    lowestInPeriod = Math.min(lowestInPeriod, count);
    return stableCount == 0 ? count : stableCount;
  }
}
