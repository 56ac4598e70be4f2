package org.fallturn.core.pace;

/**
 * Running mean of the logarithm of the time that the same work takes at all engines of a service,
 * relative to the expected time. Errors of the expectation that are the same at all engines cancel
 * out here and say nothing about a single engine.
 *
 * <p>One thread calls.
 */
final class BaselinePace {

  /** Minimum number of samples before deviations from the mean are used. */
  private static final int ENOUGH_SAMPLES = 4;

  /**
   * Maximum sample count of the mean. From then on each sample has a weight of one in this number,
   * so that the mean follows changes of load.
   */
  private static final int MEMORY_SAMPLES = 64;

  private double mean;
  private int samples;

  boolean isKnown() {
    return samples >= ENOUGH_SAMPLES;
  }

  /** Returns the bounded difference between a sample and the mean, both as natural logarithms. */
  double deviation(double log) {
    return PaceBounds.bounded(log - mean);
  }

  void add(double log) {
    samples = Math.min(samples + 1, MEMORY_SAMPLES);
    double step = isKnown() ? deviation(log) : log - mean;
    mean += step / samples;
  }
}
