package org.fallturn.core.pace;

import java.util.Collection;

/**
 * How alike the engines of a kind of work are: how many samples it takes to believe that one
 * differs. Where their means differ by no more than single times vary, none is set apart for it,
 * else all nodes would go by the same noise. One thread calls.
 */
final class ShrinkagePrior {

  /** Until engines have been compared. */
  private static final double FIRST_SAMPLES = 16;

  private static final double FEWEST = 2;
  private static final double MOST = 4_096;

  /** An engine with fewer samples says nothing of how the engines differ. */
  private static final double MIN_SAMPLES = 8;

  private static final int MIN_ENGINES = 3;

  private double usualSamples = FIRST_SAMPLES;

  /** Samples that speak for each engine's being like the others. */
  double usualSamples() {
    return usualSamples;
  }

  /** Compares the engines anew: the variance of single times against that between engines. */
  void compare(Collection<LongTermPace> engines, long nowNanos) {
    double count = 0;
    double sum = 0;
    double squares = 0;
    double variance = 0;
    double ofMeans = 0;
    for (LongTermPace engine : engines) {
      double samples = engine.samples(nowNanos);
      if (samples >= MIN_SAMPLES) {
        count++;
        sum += engine.mean();
        squares += engine.mean() * engine.mean();
        variance += engine.variance();
        ofMeans += engine.variance() / samples;
      }
    }
    if (count < MIN_ENGINES) {
      return;
    }
    double between = (squares - sum * sum / count) / (count - 1) - ofMeans / count;
    usualSamples =
        between <= 0 ? MOST : Math.max(FEWEST, Math.min(MOST, variance / count / between));
  }
}
