package org.fallturn.core.placement;

import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.roles.EngineRates;

/**
 * Estimates how long a newcomer waits for its placement: all work of higher urgency goes before it,
 * and of its own urgency as much as fairness lets pass, so that one tenant's long queue does not
 * get another tenant's request refused.
 */
final class WaitEstimator {
  private final EngineTable engines;
  private final RequestQueue queue;
  private final CostModel costs;

  WaitEstimator(EngineTable engines, RequestQueue queue, CostModel costs) {
    this.engines = engines;
    this.queue = queue;
    this.costs = costs;
  }

  double waitSeconds(PlacementRequest request) {
    if (queue.size() == 0) {
      return 0;
    }
    double promptTokens = 0;
    double outputTokens = 0;
    for (Urgency urgency : Urgency.values()) {
      FairQueue waiting = queue.queue(urgency);
      int order = urgency.compareTo(request.urgency());
      if (order >= 0) {
        double share = order > 0 ? 1 : shareAhead(waiting, request);
        promptTokens += share * waiting.promptTokens();
        outputTokens += share * waiting.outputTokens();
      }
    }
    return seconds(promptTokens, outputTokens);
  }

  /** Time the pool needs for everything that waits. */
  double backlogSeconds() {
    double promptTokens = 0;
    double outputTokens = 0;
    for (Urgency urgency : Urgency.values()) {
      promptTokens += queue.queue(urgency).promptTokens();
      outputTokens += queue.queue(urgency).outputTokens();
    }
    return seconds(promptTokens, outputTokens);
  }

  /**
   * Part of the waiting work of its own urgency that goes before a newcomer: what is served while
   * the tenant's own backlog gets its weighted share, and all of it at most.
   */
  private double shareAhead(FairQueue waiting, PlacementRequest request) {
    double all = cost(waiting.promptTokens(), waiting.outputTokens());
    if (all <= 0) {
      return 0;
    }
    TenantName tenant = request.tenant();
    double own =
        cost(
            waiting.promptTokensOf(tenant) + request.promptTokens(),
            waiting.outputTokensOf(tenant) + request.expectedOutputTokens());
    return Math.min(1, own * waiting.inverseShare(tenant, request.shareWeight()) / all);
  }

  private double cost(long promptTokens, long outputTokens) {
    EngineRates rates = costs.rates();
    return promptTokens / rates.prefillTokensPerSecond()
        + outputTokens / rates.decodeTokensPerSecond();
  }

  private double seconds(double promptTokens, double outputTokens) {
    EngineRates rates = costs.rates();
    double prefill =
        promptTokens / rates.prefillTokensPerSecond() / Math.max(1, engines.prefillEngines());
    double decode =
        outputTokens / rates.decodeTokensPerSecond() / Math.max(1, engines.decodeEngines());
    return Math.max(prefill, decode);
  }
}
