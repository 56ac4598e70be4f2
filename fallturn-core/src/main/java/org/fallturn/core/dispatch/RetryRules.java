package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.limits.BudgetState;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.RoutingImage;

/**
 * Decides whether a request whose attempt failed may be sent again. Correctness comes first: a
 * request that may have run is repeated only where its route allows it, when it came and now, and
 * on no more engines than the route allows; an answer that has begun is continued only if it is a
 * stream, since only a stream tells another engine where to go on. Then the remaining time counts,
 * and last the retry budget that all nodes share.
 *
 * <p>Invariant: every send beyond a request's first run and its one successful prefill is taken
 * from the budget here, whatever its purpose. Only the dispatch thread calls.
 */
final class RetryRules {

  /**
   * The slack is divided by at least this many nodes, so that a node that hears only from some of
   * the others does not take too large a share.
   */
  private static final int MIN_NODE_COUNT = 6;

  private static final int MAX_PREFILL_ATTEMPTS = 2;

  /**
   * Sends of a run that are allowed beyond the route's attempts, since engines may reject a send or
   * never receive it.
   */
  private static final int MAX_SENDS_BEYOND_RUNS = 2;

  /** With less time left, a failed run is not repeated. */
  private static final Duration MIN_TIME_FOR_ATTEMPT = Duration.ofMillis(10);

  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private final PeerLoads peerLoads;
  private DispatchParameters parameters;
  private Optional<RoutingImage> routing = Optional.empty();
  private OptionalInt nodeCount = OptionalInt.empty();
  private OptionalLong startedNanos = OptionalLong.empty();

  RetryRules(DispatchParameters parameters, PeerLoads peerLoads) {
    this.parameters = parameters;
    this.peerLoads = peerLoads;
  }

  /** Applies changed bounds; the windows of existing budgets stay. */
  void setParameters(DispatchParameters changed) {
    parameters = changed;
    budgets.values().forEach(budget -> budget.setBounds(changed));
  }

  /** Sets the routes in force. */
  void setRouting(RoutingImage image) {
    routing = Optional.of(image);
  }

  /**
   * Sets the number of nodes that share the budget, this one included.
   *
   * @param count empty while no other node has been heard from, so that the number is not known
   */
  void setNodeCount(OptionalInt count) {
    nodeCount =
        count.isPresent()
            ? OptionalInt.of(Math.max(MIN_NODE_COUNT, count.getAsInt()))
            : OptionalInt.empty();
  }

  /** Counts a new request for a service, which raises the service's budget. */
  void onRequest(String service, long nowNanos) {
    noteStart(nowNanos);
    budget(service).onRequest(nowNanos);
  }

  private void noteStart(long nowNanos) {
    if (startedNanos.isEmpty()) {
      startedNanos = OptionalLong.of(nowNanos);
    }
  }

  /**
   * The retry budgets that this node reports to the others, by service; most services have nothing
   * to report.
   */
  Map<String, BudgetDigest> digests(long nowNanos) {
    noteStart(nowNanos);
    peerLoads.budgetedServices(nowNanos).forEach(this::budget);
    Map<String, BudgetDigest> digests = new HashMap<>();
    for (String service : budgets.keySet()) {
      BudgetDigest digest = updatedBudget(service, nowNanos).digest(nowNanos);
      if (digest.nodes() > 0) {
        digests.put(service, digest);
      }
    }
    return digests;
  }

  /**
   * Whether the request may be sent to another engine after a failed run; if so, takes the send
   * from the budget.
   *
   * @param hasCandidate whether there is an engine that the request has not been sent to
   */
  boolean mayRunAgain(
      RequestProgress progress, AttemptOutcome outcome, boolean hasCandidate, long nowNanos) {
    Route route = progress.envelope().route();
    if (outcome.mayHaveRun() && !(route.repeatable() && repeatableNow(progress))) {
      return false;
    }
    if (outcome.isMidway() && !route.streaming()) {
      return false;
    }
    if (progress.possibleRuns() >= route.maxAttempts()
        || progress.runSends() >= route.maxAttempts() + MAX_SENDS_BEYOND_RUNS) {
      return false;
    }
    if (progress.envelope().remainingNanos(nowNanos) < MIN_TIME_FOR_ATTEMPT.toNanos()) {
      return false;
    }
    return hasCandidate && takeSend(progress, nowNanos);
  }

  /**
   * Whether the routes in force allow a repeat. A request lives for seconds, and the operator may
   * have changed its route since it came.
   */
  private boolean repeatableNow(RequestProgress progress) {
    RequestEnvelope envelope = progress.envelope();
    return routing
        .flatMap(image -> image.match(envelope.route().host(), envelope.path()))
        .map(Route::repeatable)
        .orElse(true);
  }

  /** Whether one more engine may be asked for a prefill of the prompt. */
  boolean prefillsLeft(RequestProgress progress) {
    return progress.prefillAttempts() < MAX_PREFILL_ATTEMPTS;
  }

  /**
   * Whether the request may be sent once more; takes the send from the budget if it counts as a
   * repeat.
   */
  boolean takeSend(RequestProgress progress, long nowNanos) {
    if (!progress.nextSendIsRepeat()) {
      return true;
    }
    RetryBudget budget = updatedBudget(progress.service(), nowNanos);
    boolean late = progress.late(nowNanos);
    BudgetState before = budget.state(nowNanos);
    boolean granted = budget.tryTake(late, nowNanos);
    progress.setBudgetUse(new RetryBudgetUse(granted, late, before));
    return granted;
  }

  private long uptimeNanos(long nowNanos) {
    return startedNanos.isPresent() ? nowNanos - startedNanos.getAsLong() : 0;
  }

  /** The budget of a service, updated with what the other nodes reported. */
  private RetryBudget updatedBudget(String service, long nowNanos) {
    RetryBudget budget = budget(service);
    budget.setOthers(peerLoads.budget(service, nowNanos), nodeCount, uptimeNanos(nowNanos));
    return budget;
  }

  private RetryBudget budget(String service) {
    return budgets.computeIfAbsent(service, name -> new RetryBudget(parameters));
  }
}
