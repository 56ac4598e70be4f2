package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.fallturn.core.routing.Route;

/**
 * Says whether a request whose attempt failed may be sent again. Rules of correctness come first:
 * what may have run is repeated only where its route allows it, on no more engines than its route
 * allows. Then the time that is left, and last the budget that all nodes share. One thread calls.
 */
final class RetryRules {

  /** Divides the slack before the other nodes have been heard. */
  private static final int MIN_NODE_COUNT = 6;

  private static final int MAX_PREFILL_ATTEMPTS = 2;
  private static final int MAX_ARRIVALS_BEYOND_RUNS = 2;
  private static final Duration MIN_TIME_FOR_ATTEMPT = Duration.ofMillis(10);

  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private DispatchParameters parameters;
  private int nodeCount = MIN_NODE_COUNT;

  RetryRules(DispatchParameters parameters) {
    this.parameters = parameters;
  }

  /** Takes changed bounds; the windows stay. */
  void setParameters(DispatchParameters changed) {
    parameters = changed;
    budgets.values().forEach(budget -> budget.setBounds(changed));
  }

  /** Takes the number of nodes that share the budget, this one included. */
  void setNodeCount(int count) {
    nodeCount = Math.max(MIN_NODE_COUNT, count);
  }

  /** A request for a service came, which widens its budget. */
  void onRequest(String service, long nowNanos) {
    budget(service).onRequest(nowNanos);
  }

  /**
   * Whether another engine may be sent the request after a failed run.
   *
   * @param hasCandidate whether there is an engine that it was not sent to
   */
  boolean mayRunAgain(
      RequestProgress progress, AttemptOutcome outcome, boolean hasCandidate, long nowNanos) {
    Route route = progress.envelope().route();
    if (outcome.mayHaveRun() && !route.repeatable()) {
      return false;
    }
    if (progress.possibleRuns() >= route.maxAttempts()
        || progress.arrivals() >= route.maxAttempts() + MAX_ARRIVALS_BEYOND_RUNS) {
      return false;
    }
    if (progress.envelope().remainingNanos(nowNanos) < MIN_TIME_FOR_ATTEMPT.toNanos()) {
      return false;
    }
    boolean free = outcome == AttemptOutcome.NOT_SENT;
    return hasCandidate && (free || takeRepeat(progress.service(), nowNanos));
  }

  /** Whether another engine may read the prompt ahead after one failed to. */
  boolean mayPrefillAgain(RequestProgress progress, boolean hasCandidate, long nowNanos) {
    return progress.prefillAttempts() < MAX_PREFILL_ATTEMPTS
        && hasCandidate
        && takeRepeat(progress.service(), nowNanos);
  }

  private boolean takeRepeat(String service, long nowNanos) {
    return budget(service).tryTake(nodeCount, nowNanos);
  }

  private RetryBudget budget(String service) {
    return budgets.computeIfAbsent(service, name -> new RetryBudget(parameters));
  }
}
