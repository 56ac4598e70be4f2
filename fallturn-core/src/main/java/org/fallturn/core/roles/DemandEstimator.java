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
  private final Utilization utilization;
  private long lastShiftNanos = Long.MIN_VALUE;

  DemandEstimator(RolePolicyParameters parameters) {
    this.parameters = parameters;
    requests = estimate();
    promptTokens = estimate();
    outputTokens = estimate();
    utilization = new Utilization(parameters.utilizationMemorySeconds());
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
      boolean isPromptShift =
          promptTokens.add(observation.arrivedPromptTokens() / seconds, seconds);
      boolean isOutputShift =
          outputTokens.add(observation.arrivedOutputTokens() / seconds, seconds);
      if (isPromptShift || isOutputShift) {
        lastShiftNanos = observation.observedAtNanos();
      }
    }
    engineTimes.observe(observation, seconds);
    utilization.observe(observation, seconds);
    double promptRate = promptTokens.value();
    double outputRate = outputTokens.value();
    double promptBacklog = 0;
    double outputBacklog = 0;
    for (UrgencyObservation queue : observation.queues()) {
      double drainSeconds = drainSeconds(queue.urgency());
      promptBacklog += queue.queuedPromptTokens() / drainSeconds;
      outputBacklog += queue.queuedOutputTokens() / drainSeconds;
    }
    Demand ofArrivals = demand(promptRate, outputRate);
    Demand ofAll = demand(promptRate + promptBacklog, outputRate + outputBacklog);
    return corrected(ofArrivals, ofAll, RoleCounts.of(observation.engines()));
  }

  /** When arrivals last showed a shift. */
  long lastShiftNanos() {
    return lastShiftNanos;
  }

  private Demand demand(double promptRate, double outputRate) {
    return new Demand(
        promptRate * engineTimes.prefillSecondsPerToken(),
        outputRate * engineTimes.decodeSecondsPerToken(),
        requests.value());
  }

  /**
   * While one role is saturated and the other idles, the backlog waits for the first alone: the
   * idle role needs no more than arrivals and its present work ask for.
   */
  private Demand corrected(Demand ofArrivals, Demand ofAll, RoleCounts counts) {
    double prefill = ofAll.prefillEngines();
    double decode = ofAll.decodeEngines();
    if (utilization.isShortOfDecode()) {
      double work = utilization.prefill() * counts.servingPrefill();
      prefill = Math.max(ofArrivals.prefillEngines(), parameters.saturationGrowth() * work);
      decode = Math.max(decode, parameters.saturationGrowth() * counts.servingDecode());
    } else if (utilization.isShortOfPrefill()) {
      double work = utilization.decode() * counts.servingDecode();
      decode = Math.max(ofArrivals.decodeEngines(), parameters.saturationGrowth() * work);
      prefill = Math.max(prefill, parameters.saturationGrowth() * counts.servingPrefill());
    }
    return new Demand(prefill, decode, requests.value());
  }

  private double drainSeconds(Urgency urgency) {
    return urgency == Urgency.BATCH
        ? parameters.batchDrainSeconds()
        : parameters.urgentDrainSeconds();
  }
}
