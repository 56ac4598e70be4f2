package org.fallturn.core.roles;

/** Estimates a pool's demand from its leader's observations. Used by one thread. */
final class DemandEstimator {
  private static final double NANOS_PER_SECOND = 1e9;

  private final RolePolicyParameters parameters;
  private final ShiftingEstimate requests;
  private final ShiftingEstimate promptTokens;
  private final ShiftingEstimate outputTokens;

  DemandEstimator(RolePolicyParameters parameters) {
    this.parameters = parameters;
    requests = estimate();
    promptTokens = estimate();
    outputTokens = estimate();
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
    EngineRates rates = observation.rates();
    double promptRate = promptTokens.value() + backlogRate(observation.queuedPromptTokens());
    double outputRate = outputTokens.value() + backlogRate(observation.queuedOutputTokens());
    return new Demand(
        promptRate / rates.prefillTokensPerSecond(),
        outputRate / rates.decodeTokensPerSecond(),
        requests.value());
  }

  private double backlogRate(long tokens) {
    return tokens / parameters.backlogDrainSeconds();
  }
}
