package org.fallturn.rehearsal.workload;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * One run of a {@link MixShift}, its ranges drawn. Not thread-safe; times asked must not fall.
 *
 * <p>An adversarial curve looks at the fleet at the start of each phase and keeps to its choice for
 * the whole phase, so that its answer at a time does not depend on how often it was asked.
 */
final class MixCurve {
  private final MixShift shift;
  private final double start;
  private final double length;
  private final double period;
  private final MixFeedback feedback;
  private final double balancedPrefillShare;
  private long phase = -1;
  private double phaseBlend;

  MixCurve(
      MixShift shift,
      double balancedPrefillShare,
      UniformRandomProvider random,
      MixFeedback feedback) {
    this.shift = shift;
    this.balancedPrefillShare = balancedPrefillShare;
    this.feedback = feedback;
    start = shift.startSeconds().draw(random);
    length = shift.lengthSeconds().draw(random);
    period = shift.periodSeconds().draw(random);
  }

  /** Share of the second mix at a time, 0 to 1. */
  double blend(double seconds) {
    double since = seconds - start;
    if (since < 0) {
      return 0;
    }
    return switch (shift.kind()) {
      case STEP -> 1;
      case RAMP -> Math.min(1, since / length);
      case DAILY -> (1 - Math.cos(2 * Math.PI * since / period)) / 2;
      case FLAPPING -> 1 - (long) (since / period) % 2;
      case BURST -> since < length ? 1 : 0;
      case ADVERSARIAL -> adversarialBlend((long) (since / period));
    };
  }

  private double adversarialBlend(long phaseNow) {
    if (phaseNow != phase) {
      phase = phaseNow;
      phaseBlend = feedback.prefillShare() > balancedPrefillShare ? 1 : 0;
    }
    return phaseBlend;
  }
}
