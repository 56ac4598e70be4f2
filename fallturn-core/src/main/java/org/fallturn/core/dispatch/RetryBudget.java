package org.fallturn.core.dispatch;

import java.util.OptionalInt;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.limits.BudgetState;
import org.fallturn.core.limits.SharedBudget;

/**
 * Bounds the requests that this node repeats to one service within a sliding window: a ratio of the
 * requests that all nodes received for that service, plus a fixed slack. {@link SharedBudget}
 * shares both among the nodes that have requests to repeat, since failures may concern some nodes
 * only. A process that replaces another does not know what its predecessor repeated, so in its
 * first window it uses only the part of its share that no process uses after its first window. One
 * that has no predecessor uses its whole share at once. Only the dispatch thread calls.
 */
final class RetryBudget {

  /**
   * Fraction of the ratio that is used after the first window, so that repeats stay within the
   * bound although they reach the service up to a window after the requests that allow them.
   */
  private static final double RATIO_FRACTION = 0.8;

  /**
   * Fraction of the ratio that a process uses in its first window: its predecessor may have used
   * the rest.
   */
  private static final double STARTING_RATIO_FRACTION = 1 - RATIO_FRACTION;

  /**
   * Fraction of this node's share of the slack that a process uses in its first window. It grows
   * from none over that window, so that any number of starts within a window use no more together.
   */
  private static final double STARTING_SLACK_FRACTION = 0.3;

  /**
   * Fraction of this node's share of the slack that a process uses after its first window. It adds
   * up to 1 with {@link #STARTING_SLACK_FRACTION}, so restarts stay within the bound.
   */
  private static final double STEADY_SLACK_FRACTION = 1 - STARTING_SLACK_FRACTION;

  /**
   * Fraction of the budget for requests that are already late, so that the other half is left for
   * those that can still be in time.
   */
  private static final double LATE_FRACTION = 0.5;

  private double ratio;
  private double slack;
  private final long windowNanos;
  private final boolean firstStart;
  private final SharedBudget budget;

  RetryBudget(DispatchParameters parameters) {
    setBounds(parameters);
    this.windowNanos = parameters.retryWindow().toNanos();
    this.firstStart = parameters.firstStart();
    this.budget = new SharedBudget(parameters.retryWindow());
  }

  /** Applies changed bounds; the window stays. */
  void setBounds(DispatchParameters parameters) {
    ratio = parameters.retryRatio();
    slack = parameters.retrySlack();
  }

  void onRequest(long nowNanos) {
    budget.onRequest(nowNanos);
  }

  /**
   * Applies what is known of the other nodes.
   *
   * @param reported sum of the digests that the others reported
   * @param nodes number of nodes that share the slack; while it is not known, none of the slack is
   *     used
   * @param uptimeNanos how long this process has served requests
   */
  void setOthers(BudgetDigest reported, OptionalInt nodes, long uptimeNanos) {
    boolean steady = firstStart || uptimeNanos >= windowNanos;
    double startingSlackFraction = STARTING_SLACK_FRACTION * uptimeNanos / windowNanos;
    budget.setBounds(
        (steady ? RATIO_FRACTION : STARTING_RATIO_FRACTION) * ratio,
        (steady ? STEADY_SLACK_FRACTION : startingSlackFraction) * slack);
    budget.setSharing(steady);
    budget.setOthers(reported, nodes);
  }

  /**
   * Takes one repeat from the budget if the bound allows it.
   *
   * @param late whether the request's target latency has passed; requests that can still be in time
   *     have a larger part of the budget
   */
  boolean tryTake(boolean late, long nowNanos) {
    return budget.tryTake(late ? LATE_FRACTION : 1, nowNanos);
  }

  /** What this node knows of the budget now. */
  BudgetState state(long nowNanos) {
    return budget.state(nowNanos);
  }

  /** What this node reports to the others. */
  BudgetDigest digest(long nowNanos) {
    return budget.digest(nowNanos);
  }
}
