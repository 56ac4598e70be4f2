package org.fallturn.core.dispatch;

import java.util.OptionalInt;
import org.fallturn.core.limits.SlidingCount;

/**
 * Bounds what this node sends again to one service within a sliding window: a ratio of the requests
 * it received for that service, and its share of a fixed slack. The sum over nodes then keeps the
 * fleet's bound without any message: each node's ratio is of its own requests, and the slack is
 * divided by the number of nodes. A process forgets what the one before it sent again, so that it
 * begins with the part of its share that no process with a longer uptime touches. One thread calls.
 */
final class RetryBudget {

  private static final int BUCKETS = 20;

  /** Part of the ratio that is used, so that sends that arrive a window later stay within. */
  private static final double RATIO_PART = 0.8;

  /** Part of this node's share of the slack that a process uses within its first window. */
  private static final double STARTING_PART = 0.3;

  /** Part of the share that it uses later; with the other, one restart a window stays within. */
  private static final double STEADY_PART = 1 - STARTING_PART;

  /**
   * Part of what is allowed that requests may take whose best time is over, so that the other half
   * is left for those that can still be in time. Judged, not measured.
   */
  private static final double LATE_PART = 0.5;

  private double ratio;
  private double slack;
  private final long windowNanos;
  private final SlidingCount requests;
  private final SlidingCount repeats;

  RetryBudget(DispatchParameters parameters) {
    setBounds(parameters);
    this.windowNanos = parameters.retryWindow().toNanos();
    this.requests = new SlidingCount(windowNanos, BUCKETS);
    this.repeats = new SlidingCount(windowNanos, BUCKETS);
  }

  /** Takes changed bounds; the window stays. */
  void setBounds(DispatchParameters parameters) {
    ratio = parameters.retryRatio();
    slack = parameters.retrySlack();
  }

  void onRequest(long nowNanos) {
    requests.add(nowNanos);
  }

  /**
   * Takes one repeat when the bound allows it.
   *
   * @param nodes nodes that share the slack; none is used while their number is not known
   * @param late whether the request's best time is over; what can still be in time goes first
   * @param uptimeNanos since when this process serves requests
   */
  boolean tryTake(OptionalInt nodes, boolean late, long uptimeNanos, long nowNanos) {
    double slackPart = uptimeNanos < windowNanos ? STARTING_PART : STEADY_PART;
    double slackShare = nodes.isPresent() ? slackPart * slack / nodes.getAsInt() : 0;
    double allowed = RATIO_PART * ratio * requests.sum(nowNanos) + slackShare;
    if (repeats.sum(nowNanos) + 1 > (late ? LATE_PART : 1) * allowed) {
      return false;
    }
    repeats.add(nowNanos);
    return true;
  }
}
