package org.fallturn.core.roles;

import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.roles.EngineObservation.Availability;

/**
 * How busy the serving engines of each role have been lately. A backlog only tells that the pool is
 * short of something; this tells of what. Used by one thread.
 */
final class Utilization {
  private static final double SATURATED_PREFILL = 0.9;
  private static final double SATURATED_DECODE = 0.92;
  private static final double IDLE = 0.75;

  private final double memorySeconds;
  private double prefill = 1;
  private double decode = 1;

  Utilization(double memorySeconds) {
    this.memorySeconds = memorySeconds;
  }

  void observe(PoolObservation observation, double seconds) {
    double share = 1 - Math.exp(-seconds / memorySeconds);
    int prefillEngines = 0;
    int busyPrefill = 0;
    int decodeEngines = 0;
    int streams = 0;
    for (EngineObservation engine : observation.engines()) {
      if (engine.availability() == Availability.SERVING) {
        if (engine.role() == EngineRole.PREFILL) {
          prefillEngines++;
          busyPrefill += engine.inFlightPromptTokens() > 0 ? 1 : 0;
        } else {
          decodeEngines++;
          streams += engine.inFlightRequests();
        }
      }
    }
    if (prefillEngines > 0) {
      prefill += share * ((double) busyPrefill / prefillEngines - prefill);
    }
    if (decodeEngines > 0) {
      double slots = (double) observation.rates().decodeSlots() * decodeEngines;
      decode += share * (streams / slots - decode);
    }
  }

  /** Share of the prefill engines that were computing. */
  double prefill() {
    return prefill;
  }

  /** Share of the decode slots that were taken. */
  double decode() {
    return decode;
  }

  boolean isShortOfDecode() {
    return decode > SATURATED_DECODE && prefill < IDLE;
  }

  boolean isShortOfPrefill() {
    return prefill > SATURATED_PREFILL && decode < IDLE;
  }
}
