package org.fallturn.core.pace;

/**
 * How much of a difference that was seen lately is still there when work that is sent now has been
 * done. Learned from what came of earlier differences, since neither how long engines stay slow nor
 * how much single times vary is known beforehand. One thread calls.
 */
final class ShortTermWeight {

  /** A part is believed until enough was seen. */
  private static final double FIRST_WEIGHT = 0.25;

  /** Squares of differences that speak for the first weight: some samples of a doubled time. */
  private static final double FIRST_EVIDENCE = 1;

  /** Of the evidence, what is left after a sample: it is that of some hundred. */
  private static final double KEPT = 0.99;

  private double products = FIRST_WEIGHT * FIRST_EVIDENCE;
  private double squares = FIRST_EVIDENCE;

  /**
   * A difference that was seen before, and what was there then.
   *
   * @param seen difference from the engine's mean, as a logarithm
   * @param came the same of the work that was sent on it
   * @param weight of that
   */
  void onOutcome(double seen, double came, double weight) {
    if (seen != 0) {
      products = KEPT * products + weight * seen * came;
      squares = KEPT * squares + weight * seen * seen;
    }
  }

  double get() {
    return Math.max(0, Math.min(1, products / squares));
  }
}
