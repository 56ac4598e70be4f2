package org.fallturn.core.placement;

import java.util.EnumMap;
import java.util.Map;
import org.fallturn.core.domain.Urgency;

/**
 * How much longer than predicted requests of each urgency take from their placement to their end.
 * Engines serve higher urgencies first, so work placed later stretches that of lower urgency; a
 * prediction from the load at the moment of placement cannot see it. Requests cut off at their
 * deadline count with the time they had. What was learned fades while no request ends, so that an
 * urgency whose requests are all refused for it is soon tried again.
 */
final class StretchEstimate {
  private static final double WEIGHT = 0.02;
  private static final double LEAST = 0.5;
  private static final double MOST = 10;
  private static final double MARGIN_DEVIATIONS = 1;
  private static final double FADING_NANOS = 20e9;
  private static final long USUAL_GAP_NANOS = 5_000_000_000L;

  private final Map<Urgency, Moments> byUrgency = new EnumMap<>(Urgency.class);

  StretchEstimate() {
    for (Urgency urgency : Urgency.values()) {
      byUrgency.put(urgency, new Moments());
    }
  }

  void add(Urgency urgency, double predictedSeconds, double actualSeconds, long nowNanos) {
    if (predictedSeconds > 0 && actualSeconds > 0) {
      double ratio = actualSeconds / predictedSeconds;
      byUrgency.get(urgency).add(Math.min(MOST, Math.max(LEAST, ratio)), nowNanos);
    }
  }

  /** Factor for a predicted time, a margin for its spread included. */
  double factor(Urgency urgency, long nowNanos) {
    Moments moments = byUrgency.get(urgency);
    moments.fade(nowNanos);
    return moments.mean + MARGIN_DEVIATIONS * Math.sqrt(moments.variance);
  }

  /** Decaying mean and variance. */
  private static final class Moments {
    private double mean = 1;
    private double variance;
    private long lastSampleNanos;

    private void add(double value, long nowNanos) {
      fade(nowNanos);
      lastSampleNanos = nowNanos;
      double difference = value - mean;
      mean += WEIGHT * difference;
      variance = (1 - WEIGHT) * (variance + WEIGHT * difference * difference);
    }

    /** Forgets for the time beyond the usual gap between samples, once. */
    private void fade(long nowNanos) {
      double idleNanos = nowNanos - lastSampleNanos - USUAL_GAP_NANOS;
      if (idleNanos > 0) {
        lastSampleNanos = nowNanos - USUAL_GAP_NANOS;
        double kept = Math.exp(-idleNanos / FADING_NANOS);
        mean = 1 + (mean - 1) * kept;
        variance *= kept;
      }
    }
  }
}
