package org.fallturn.core.pace;

/**
 * Running mean of the time that one kind of work takes at all engines of a service, relative to the
 * expected time. Errors of the expectation that are the same at all engines cancel out here and say
 * nothing about a single engine.
 *
 * <p>One thread calls.
 */
final class BaselinePace {

  /** Minimum number of samples before deviations from the mean are used. */
  private static final int ENOUGH_SAMPLES = 4;

  /**
   * Caps the sample count so that the mean follows changes of load: every later sample counts as
   * one of so many.
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
