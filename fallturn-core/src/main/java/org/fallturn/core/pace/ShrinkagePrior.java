package org.fallturn.core.pace;

import java.util.Collection;

/**
 * Estimates how similar the engines are for one kind of work, as the number of prior samples by
 * which each engine's mean is shrunk towards the usual pace (empirical Bayes).
 *
 * <p>When the means of the engines differ by no more than the variance of single times explains, no
 * engine is treated differently from the others; otherwise all nodes would act on the same noise.
 * One thread calls.
 */
final class ShrinkagePrior {

  /** Value until the engines have been compared. */
  private static final double INITIAL_PRIOR_SAMPLES = 16;

  private static final double MIN_PRIOR_SAMPLES = 2;
  private static final double MAX_PRIOR_SAMPLES = 4_096;

  /**
   * Engines with fewer samples are left out of the comparison, since they do not show how the
   * engines differ.
   */
  private static final double MIN_SAMPLES = 8;

  private static final int MIN_ENGINES = 3;

  private double priorSamples = INITIAL_PRIOR_SAMPLES;

  /**
   * Returns the number of prior samples, which stand for the assumption that an engine is like the
   * others.
   */
  double priorSamples() {
    return priorSamples;
  }

  /** Updates the prior: the variance of single times divided by the variance between engines. */
  void compare(Collection<LongTermPace> engines, long nowNanos) {
    double count = 0;
    double sum = 0;
    double squares = 0;
    double variance = 0;
    double varianceOfMeans = 0;
    for (LongTermPace engine : engines) {
      double samples = engine.samples(nowNanos);
      if (samples >= MIN_SAMPLES) {
        count++;
        sum += engine.mean();
        squares += engine.mean() * engine.mean();
        variance += engine.variance();
        varianceOfMeans += engine.variance() / samples;
      }
    }
    if (count < MIN_ENGINES) {
      return;
    }
    double betweenVariance = (squares - sum * sum / count) / (count - 1) - varianceOfMeans / count;
    priorSamples =
        betweenVariance <= 0
            ? MAX_PRIOR_SAMPLES
            : Math.max(
                MIN_PRIOR_SAMPLES, Math.min(MAX_PRIOR_SAMPLES, variance / count / betweenVariance));
  }
}
