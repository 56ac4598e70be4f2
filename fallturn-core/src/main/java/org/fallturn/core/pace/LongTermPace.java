package org.fallturn.core.pace;

/**
 * What one engine is, apart from what it is now: the mean of its samples, drawn to the usual as far
 * as {@link ShrinkagePrior} says that engines are alike. It lasts for as many samples as it is made
 * of and, where none come, for as long as those took to come. One thread calls.
 */
final class LongTermPace {

  /** The newest count as one of so many, so that an engine that has changed is known anew. */
  private static final double MEMORY_SAMPLES = 256;

  private double sum;
  private double samples;
  private double squares;
  private double gapNanos;
  private long lastNanos;

  /**
   * Takes the mean of some samples.
   *
   * @param weight of how many, of which parts may be taken
   * @param variance of single samples that it shows
   */
  void add(double log, double weight, double variance, long nowNanos) {
    fade(nowNanos);
    if (samples > 0) {
      double gap = (nowNanos - lastNanos) / weight;
      gapNanos += (gap - gapNanos) * weight / (samples + weight);
    }
    lastNanos = nowNanos;
    double left = Math.min(1, MEMORY_SAMPLES / (samples + weight));
    sum = left * (sum + weight * log);
    squares = left * (squares + weight * variance);
    samples = left * (samples + weight);
  }

  private void fade(long nowNanos) {
    double left = left(nowNanos);
    sum *= left;
    squares *= left;
    samples *= left;
  }

  /** What is left of the samples: all for as long as they took to come, then soon less. */
  private double left(long nowNanos) {
    double lasts = gapNanos * MEMORY_SAMPLES;
    double idle = nowNanos - lastNanos;
    return idle <= lasts || lasts == 0 ? 1 : Math.exp(1 - idle / lasts);
  }

  /** The mean as it was seen. */
  double mean() {
    return samples > 0 ? sum / samples : 0;
  }

  double samples(long nowNanos) {
    return left(nowNanos) * samples;
  }

  /** How much single samples vary. */
  double variance() {
    return samples > 0 ? squares / samples : 0;
  }

  /**
   * The natural logarithm of the factor that is gone by.
   *
   * @param usualSamples samples that speak for the usual pace from the start
   */
  double log(double usualSamples, long nowNanos) {
    double left = left(nowNanos);
    return left * sum / (left * samples + usualSamples);
  }
}
