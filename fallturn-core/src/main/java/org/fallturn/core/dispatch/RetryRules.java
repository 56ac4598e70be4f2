package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.routing.Route;

/**
 * Says whether a request whose attempt failed may be sent again. Rules of correctness come first:
 * what may have run is repeated only where its route allows it, on no more engines than its route
 * allows. Then the time that is left, and last the budget that all nodes share.
 *
 * <p>Invariant: every send beyond a request's first run and the one prefill that served it is taken
 * from the budget here, whatever it is for. One thread calls.
 */
final class RetryRules {

  /**
   * Least divisor of the slack, so that a node that hears only some others takes no large share.
   */
  private static final int MIN_NODE_COUNT = 6;

  private static final int MAX_PREFILL_ATTEMPTS = 2;
  private static final int MAX_ARRIVALS_BEYOND_RUNS = 2;
  private static final Duration MIN_TIME_FOR_ATTEMPT = Duration.ofMillis(10);

  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private final PeerLoads peerLoads;
  private DispatchParameters parameters;
  private OptionalInt nodeCount = OptionalInt.empty();
  private OptionalLong startedNanos = OptionalLong.empty();

  RetryRules(DispatchParameters parameters, PeerLoads peerLoads) {
    this.parameters = parameters;
    this.peerLoads = peerLoads;
  }

  /** Takes changed bounds; the windows stay. */
  void setParameters(DispatchParameters changed) {
    parameters = changed;
    budgets.values().forEach(budget -> budget.setBounds(changed));
  }

  /**
   * Takes the number of nodes that share the budget, this one included.
   *
   * @param count empty while no other node has been heard, so that the number is not known
   */
  void setNodeCount(OptionalInt count) {
    nodeCount =
        count.isPresent()
            ? OptionalInt.of(Math.max(MIN_NODE_COUNT, count.getAsInt()))
            : OptionalInt.empty();
  }

  /** A request for a service came, which widens its budget. */
  void onRequest(String service, long nowNanos) {
    begin(nowNanos);
    budget(service).onRequest(nowNanos);
  }

  private void begin(long nowNanos) {
    if (startedNanos.isEmpty()) {
      startedNanos = OptionalLong.of(nowNanos);
    }
  }

  /** What this node tells the others of the budgets, by service; of most there is nothing. */
  Map<String, BudgetDigest> digests(long nowNanos) {
    begin(nowNanos);
    peerLoads.budgetedServices(nowNanos).forEach(this::budget);
    Map<String, BudgetDigest> digests = new HashMap<>();
    for (String service : budgets.keySet()) {
      BudgetDigest digest = current(service, nowNanos).digest(nowNanos);
      if (digest.nodes() > 0) {
        digests.put(service, digest);
      }
    }
    return digests;
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
        || progress.runSends() >= route.maxAttempts() + MAX_ARRIVALS_BEYOND_RUNS) {
      return false;
    }
    if (progress.envelope().remainingNanos(nowNanos) < MIN_TIME_FOR_ATTEMPT.toNanos()) {
      return false;
    }
    return hasCandidate && takeSend(progress, nowNanos);
  }

  /** Whether one more engine may be asked to read the prompt ahead. */
  boolean prefillsLeft(RequestProgress progress) {
    return progress.prefillAttempts() < MAX_PREFILL_ATTEMPTS;
  }

  /** Whether the request may be sent once more; takes the send from the budget when it counts. */
  boolean takeSend(RequestProgress progress, long nowNanos) {
    if (!progress.nextSendIsRepeat()) {
      return true;
    }
    return current(progress.service(), nowNanos).tryTake(progress.late(nowNanos), nowNanos);
  }

  private long uptime(long nowNanos) {
    return startedNanos.isPresent() ? nowNanos - startedNanos.getAsLong() : 0;
  }

  /** The budget with what is known of the others now. */
  private RetryBudget current(String service, long nowNanos) {
    RetryBudget budget = budget(service);
    budget.setOthers(peerLoads.budget(service, nowNanos), nodeCount, uptime(nowNanos));
    return budget;
  }

  private RetryBudget budget(String service) {
    return budgets.computeIfAbsent(service, name -> new RetryBudget(parameters));
  }
}
