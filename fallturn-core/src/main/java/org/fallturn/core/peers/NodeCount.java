package org.fallturn.core.peers;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * A conservative count of the nodes. A bound that is divided by it must not rise only because some
 * nodes are not heard for a while, so the highest recent count holds. A process that has just
 * started has heard few of the others, so its count settles only later. The dispatch thread counts;
 * any thread may read the highest count.
 */
final class NodeCount {

  /**
   * The period of which the lowest count is taken: longer than a message of a node that has changed
   * its relay still counts.
   */
  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** How long the highest count holds. */
  private static final long HIGHEST_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(60);

  /**
   * How long after it first heard another node a process has heard all of them: they reach it
   * through a relay, which may first have to be promoted.
   */
  private static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final int seeds;
  private int stableCount;
  private int lowestInPeriod = Integer.MAX_VALUE;
  private long periodStartNanos;
  private volatile int highest;
  private long highestNanos;
  private OptionalLong firstHeardNanos = OptionalLong.empty();
  private boolean confirmed;

  /**
   * Creates the count of a process that has heard from no node.
   *
   * @param seeds number of other nodes that it knows from its settings
   */
  NodeCount(int seeds, long nowNanos) {
    this.seeds = seeds;
    this.periodStartNanos = nowNanos;
  }

  /** The highest count of the last minute; 0 before the first. */
  int highest() {
    return highest;
  }

  /**
   * The highest count, but at least this node and its seeds; empty if this node has seeds and
   * counted no other node.
   */
  OptionalInt conservative() {
    if (highest <= 1) {
      return seeds == 0 ? OptionalInt.of(1) : OptionalInt.empty();
    }
    return OptionalInt.of(Math.max(highest, 1 + seeds));
  }

  /**
   * Whether the highest count is that of the whole fleet. Until then a part of a bound that is
   * divided by it may be several times too large, and in each process of a fleet that starts anew.
   */
  boolean settled(long nowNanos) {
    boolean heardLongEnough =
        firstHeardNanos.isPresent() && nowNanos - firstHeardNanos.getAsLong() >= SETTLING_NANOS;
    return seeds == 0 || confirmed || heardLongEnough;
  }

  /** The count to report to other nodes; 0 until it is settled, since they adopt it. */
  int toReport(long nowNanos) {
    return settled(nowNanos) ? highest : 0;
  }

  /** Handles the number of nodes that are heard now, including this one. */
  void onHeard(int count, long nowNanos) {
    if (count > 1 && firstHeardNanos.isEmpty()) {
      firstHeardNanos = OptionalLong.of(nowNanos);
    }
    raise(stableCount(count, nowNanos), nowNanos);
  }

  /** Handles the number of nodes that another node counted; up to 1 if it does not know it. */
  void onPeerReport(int count, long nowNanos) {
    confirmed |= count > 1;
    raise(count, nowNanos);
  }

  private void raise(int count, long nowNanos) {
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
