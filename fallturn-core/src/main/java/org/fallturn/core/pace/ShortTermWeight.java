package org.fallturn.core.pace;

/**
 * Learns how much of a recent deviation of an engine's pace is still present when work that is sent
 * now has been done.
 *
 * <p>It is the regression coefficient of later deviations on earlier ones, with exponential
 * forgetting. It has to be learned, since neither the duration of slow periods nor the variance of
 * single times is known in advance. One thread calls.
 */
final class ShortTermWeight {

  /** Weight that is used until enough outcomes have been seen. */
  private static final double INITIAL_WEIGHT = 0.25;

  /**
   * Weight of the initial value as a sum of squared deviations. It corresponds to a few samples of
   * work that took twice the usual time.
   */
  private static final double INITIAL_EVIDENCE = 1;

  /**
   * Share of the evidence that is kept after each sample, which makes it the evidence of about a
   * hundred samples.
   */
  private static final double EVIDENCE_KEPT = 0.99;

  private double products = INITIAL_WEIGHT * INITIAL_EVIDENCE;
  private double squares = INITIAL_EVIDENCE;

  /**
   * Adds the outcome of a forecast.
   *
   * @param predicted deviation from the engine's mean that was forecast, as a natural logarithm
   * @param observed deviation of the work that was sent with this forecast, as a natural logarithm
   * @param weight weight of the observation
   */
  void onOutcome(double predicted, double observed, double weight) {
    if (predicted != 0) {
      products = EVIDENCE_KEPT * products + weight * predicted * observed;
      squares = EVIDENCE_KEPT * squares + weight * predicted * predicted;
    }
  }

  double get() {
    return Math.max(0, Math.min(1, products / squares));
  }
}
