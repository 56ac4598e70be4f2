package org.fallturn.core.dispatch;

import java.util.OptionalInt;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.limits.SharedBudget;

/**
 * Bounds what this node sends again to one service within a sliding window: a ratio of the requests
 * that all nodes received for that service, and a fixed slack, shared by {@link SharedBudget} with
 * the nodes that have something to send again. It answers failures that some nodes have and others
 * have not. A process forgets what the one before it sent again, so that it begins with the part of
 * its share that no process with a longer uptime touches. One thread calls.
 */
final class RetryBudget {

  /** Part of the ratio that is used, so that sends that arrive a window later stay within. */
  private static final double RATIO_PART = 0.8;

  /** Part that a process uses within its first window: the one before may have used the other. */
  private static final double STARTING_RATIO_PART = 1 - RATIO_PART;

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
  private final SharedBudget budget;

  RetryBudget(DispatchParameters parameters) {
    setBounds(parameters);
    this.windowNanos = parameters.retryWindow().toNanos();
    this.budget = new SharedBudget(parameters.retryWindow());
  }

  /** Takes changed bounds; the window stays. */
  void setBounds(DispatchParameters parameters) {
    ratio = parameters.retryRatio();
    slack = parameters.retrySlack();
  }

  void onRequest(long nowNanos) {
    budget.onRequest(nowNanos);
  }

  /**
   * Takes what is known of the others.
   *
   * @param told what they tell
   * @param nodes nodes that share the slack; none of it is used while their number is not known
   * @param uptimeNanos since when this process serves requests
   */
  void setOthers(BudgetDigest told, OptionalInt nodes, long uptimeNanos) {
    boolean steady = uptimeNanos >= windowNanos;
    budget.setBounds(
        (steady ? RATIO_PART : STARTING_RATIO_PART) * ratio,
        (steady ? STEADY_PART : STARTING_PART) * slack);
    budget.setSharing(steady);
    budget.setOthers(told, nodes);
  }

  /**
   * Takes one repeat when the bound allows it.
   *
   * @param late whether the request's best time is over; what can still be in time goes first
   */
  boolean tryTake(boolean late, long nowNanos) {
    return budget.tryTake(late ? LATE_PART : 1, nowNanos);
  }

  /** What this node tells the others. */
  BudgetDigest digest(long nowNanos) {
    return budget.digest(nowNanos);
  }
}
