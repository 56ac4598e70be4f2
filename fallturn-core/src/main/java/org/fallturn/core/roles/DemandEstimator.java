package org.fallturn.core.roles;

import org.fallturn.core.domain.Urgency;

/** Estimates a pool's demand from its leader's observations. Used by one thread. */
final class DemandEstimator {
  private static final double NANOS_PER_SECOND = 1e9;

  private final RolePolicyParameters parameters;
  private final ShiftingEstimate requests;
  private final ShiftingEstimate promptTokens;
  private final ShiftingEstimate outputTokens;
  private final EngineTimeEstimator engineTimes;

  DemandEstimator(RolePolicyParameters parameters) {
    this.parameters = parameters;
    requests = estimate();
    promptTokens = estimate();
    outputTokens = estimate();
    engineTimes = new EngineTimeEstimator(parameters.rateMemorySeconds());
  }

  private ShiftingEstimate estimate() {
    return new ShiftingEstimate(
        parameters.arrivalMemorySeconds(),
        parameters.shiftWindowSeconds(),
        parameters.shiftDeviations());
  }

  /** Takes in an observation and answers the demand expected now. */
  Demand observe(PoolObservation observation) {
    double seconds = observation.windowNanos() / NANOS_PER_SECOND;
    if (seconds > 0) {
      requests.add(observation.arrivedRequests() / seconds, seconds);
      promptTokens.add(observation.arrivedPromptTokens() / seconds, seconds);
      outputTokens.add(observation.arrivedOutputTokens() / seconds, seconds);
    }
    engineTimes.observe(observation, seconds);
    double promptRate = promptTokens.value();
    double outputRate = outputTokens.value();
    for (UrgencyObservation queue : observation.queues()) {
      double drainSeconds = drainSeconds(queue.urgency());
      promptRate += queue.queuedPromptTokens() / drainSeconds;
      outputRate += queue.queuedOutputTokens() / drainSeconds;
    }
    return new Demand(
        promptRate * engineTimes.prefillSecondsPerToken(),
        outputRate * engineTimes.decodeSecondsPerToken(),
        requests.value());
  }

  private double drainSeconds(Urgency urgency) {
    return urgency == Urgency.BATCH
        ? parameters.batchDrainSeconds()
        : parameters.urgentDrainSeconds();
  }
}
