package org.fallturn.core.pace;

/**
 * What is usual for one kind of work at all engines of a service, against what was expected: faults
 * of the expectation that are the same at all of them are no news of any. One thread calls.
 */
final class BaselinePace {

  /** Before, nothing is said of an engine. */
  private static final int ENOUGH_SAMPLES = 4;

  /** Later samples count as one of so many: what is usual changes with the load. */
  private static final int MEMORY_SAMPLES = 64;

  private double mean;
  private int samples;

  boolean isKnown() {
    return samples >= ENOUGH_SAMPLES;
  }

  /** By how much a sample differs from what is usual. */
  double deviation(double log) {
    return PaceBounds.bounded(log - mean);
  }

  void add(double log) {
    samples = Math.min(samples + 1, MEMORY_SAMPLES);
    double step = isKnown() ? deviation(log) : log - mean;
    mean += step / samples;
  }
}
