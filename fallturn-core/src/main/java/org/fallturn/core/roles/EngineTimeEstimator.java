package org.fallturn.core.roles;

import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.roles.EngineObservation.Availability;

/**
 * Measures how much engine time a token takes in each role: the time engines were busy over the
 * tokens placed on them. Unlike the leader's fits, which follow the lengths of the last few
 * requests, this includes whatever keeps an engine busy, and it is right just where it matters,
 * near saturation. While decode engines have room the leader's rate of a full batch stands in,
 * because a stream in a small batch is quicker. Used by one thread.
 */
final class EngineTimeEstimator {
  private static final double FULL_OCCUPANCY = 0.95;
  private static final double MEASURABLE_OCCUPANCY = 0.75;
  private static final double PRIOR_ENGINE_SECONDS = 2;

  private final double memorySeconds;
  private final Ratio prefill = new Ratio();
  private final Ratio decode = new Ratio();
  private boolean isPrimed;

  EngineTimeEstimator(double memorySeconds) {
    this.memorySeconds = memorySeconds;
  }

  /** Takes in an observation of a window of this many seconds. */
  void observe(PoolObservation observation, double seconds) {
    EngineRates rates = observation.rates();
    if (!isPrimed) {
      isPrimed = true;
      prefill.prime(rates.prefillTokensPerSecond());
      decode.prime(rates.decodeTokensPerSecond());
    }
    double kept = Math.exp(-seconds / memorySeconds);
    prefill.add(kept, busyPrefillEngines(observation) * seconds, observation.placedPromptTokens());
    addDecode(observation, kept, seconds, observation.placedOutputTokens());
  }

  private void addDecode(PoolObservation observation, double kept, double seconds, double output) {
    double engines = 0;
    double occupied = 0;
    for (EngineObservation engine : observation.engines()) {
      if (isServing(engine, EngineRole.DECODE)) {
        engines++;
        occupied += engine.inFlightRequests();
      }
    }
    double occupancy = engines == 0 ? 0 : occupied / (engines * observation.rates().decodeSlots());
    if (occupancy >= MEASURABLE_OCCUPANCY) {
      decode.add(kept, engines * seconds * Math.min(1, occupancy / FULL_OCCUPANCY), output);
    } else {
      double full = observation.rates().decodeTokensPerSecond();
      decode.add(kept, PRIOR_ENGINE_SECONDS * seconds, PRIOR_ENGINE_SECONDS * seconds * full);
    }
  }

  private static double busyPrefillEngines(PoolObservation observation) {
    return observation.engines().stream()
        .filter(engine -> isServing(engine, EngineRole.PREFILL))
        .filter(engine -> engine.inFlightPromptTokens() > 0)
        .count();
  }

  private static boolean isServing(EngineObservation engine, EngineRole role) {
    return engine.role() == role && engine.availability() == Availability.SERVING;
  }

  double prefillSecondsPerToken() {
    return prefill.value();
  }

  double decodeSecondsPerToken() {
    return decode.value();
  }

  /** Quotient of two decaying sums. */
  private static final class Ratio {
    private double engineSeconds;
    private double tokens;

    void prime(double tokensPerSecond) {
      engineSeconds = PRIOR_ENGINE_SECONDS;
      tokens = PRIOR_ENGINE_SECONDS * tokensPerSecond;
    }

    void add(double kept, double addedSeconds, double addedTokens) {
      if (addedTokens > 0) {
        engineSeconds = kept * engineSeconds + addedSeconds;
        tokens = kept * tokens + addedTokens;
      }
    }

    double value() {
      return engineSeconds / tokens;
    }
  }
}
