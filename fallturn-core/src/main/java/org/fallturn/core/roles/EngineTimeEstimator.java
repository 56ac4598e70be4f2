package org.fallturn.core.roles;

import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.roles.EngineObservation.Availability;

/**
 * Measures how much engine time a token takes in each role: the time engines were busy over the
 * tokens that left the queue. Unlike the leader's fits, which follow the lengths of the last few
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
  private long queuedPromptTokens;
  private long queuedOutputTokens;
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
    double accepted = acceptedShare(observation);
    long queuedPrompt = observation.queuedPromptTokens();
    long queuedOutput = observation.queuedOutputTokens();
    double prompt =
        accepted * observation.arrivedPromptTokens() + queuedPromptTokens - queuedPrompt;
    double output =
        accepted * observation.arrivedOutputTokens() + queuedOutputTokens - queuedOutput;
    queuedPromptTokens = queuedPrompt;
    queuedOutputTokens = queuedOutput;
    prefill.add(kept, busyPrefillEngines(observation) * seconds, prompt);
    addDecode(observation, kept, seconds, output);
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

  private static double acceptedShare(PoolObservation observation) {
    int arrived = observation.arrivedRequests();
    return arrived == 0 ? 1 : Math.max(0, 1 - (double) observation.refusedRequests() / arrived);
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
      double nextTokens = kept * tokens + addedTokens;
      if (nextTokens > 0 && addedSeconds > 0) {
        engineSeconds = kept * engineSeconds + addedSeconds;
        tokens = nextTokens;
      }
    }

    double value() {
      return engineSeconds / tokens;
    }
  }
}
