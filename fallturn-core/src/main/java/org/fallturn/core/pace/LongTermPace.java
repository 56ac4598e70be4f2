package org.fallturn.core.pace;

/**
 * Long-term pace of one engine: the mean of its samples, shrunk towards the usual pace with the
 * weight that {@link ShrinkagePrior} gives.
 *
 * <p>The estimate keeps the weight of the last {@link #MEMORY_SAMPLES} samples. When no samples
 * arrive it is kept for as long as that many samples take to arrive, and decays exponentially
 * afterwards. One thread calls.
 */
final class LongTermPace {

  /** Maximum weight that is kept, so that the estimate follows an engine that has changed. */
  private static final double MEMORY_SAMPLES = 256;

  private double sum;
  private double samples;
  private double squares;
  private double meanIntervalNanos;
  private long lastNanos;

  /**
   * Adds the mean of some samples.
   *
   * @param log mean of their natural logarithms
   * @param weight how many samples it stands for; may be a fraction
   * @param variance variance of single samples that they indicate
   * @param nowNanos current time of the steady clock
   */
  void add(double log, double weight, double variance, long nowNanos) {
    decay(nowNanos);
    if (samples > 0) {
      double intervalNanos = (nowNanos - lastNanos) / weight;
      meanIntervalNanos += (intervalNanos - meanIntervalNanos) * weight / (samples + weight);
    }
    lastNanos = nowNanos;
    double retained = Math.min(1, MEMORY_SAMPLES / (samples + weight));
    sum = retained * (sum + weight * log);
    squares = retained * (squares + weight * variance);
    samples = retained * (samples + weight);
  }

  private void decay(long nowNanos) {
    double retained = retained(nowNanos);
    sum *= retained;
    squares *= retained;
    samples *= retained;
  }

  /**
   * Returns the share of the samples that is retained: all of it for as long as {@link
   * #MEMORY_SAMPLES} samples take to arrive, then exponentially less.
   */
  private double retained(long nowNanos) {
    double retentionNanos = meanIntervalNanos * MEMORY_SAMPLES;
    double idle = nowNanos - lastNanos;
    return idle <= retentionNanos || retentionNanos == 0 ? 1 : Math.exp(1 - idle / retentionNanos);
  }

  /** Returns the observed mean, without shrinkage. */
  double mean() {
    return samples > 0 ? sum / samples : 0;
  }

  double samples(long nowNanos) {
    return retained(nowNanos) * samples;
  }

  /** Returns the variance of single samples. */
  double variance() {
    return samples > 0 ? squares / samples : 0;
  }

  /**
   * Returns the estimate as the natural logarithm of a factor.
   *
   * @param priorSamples number of samples that the usual pace counts for
   * @param nowNanos current time of the steady clock
   */
  double log(double priorSamples, long nowNanos) {
    double retained = retained(nowNanos);
    return retained * sum / (retained * samples + priorSamples);
  }
}
