package org.fallturn.core.roles;

/**
 * Estimate of a rate that is steady for a time and then shifts. A slow average smooths noise; a
 * quick one runs beside it. When the two differ by more than noise explains, the slow average jumps
 * to the quick one. Used by one thread.
 */
final class ShiftingEstimate {
  private static final double SQUARED_NOISE_FLOOR = 1e-9;

  private final double memorySeconds;
  private final double shiftSeconds;
  private final double deviations;
  private double slow;
  private double quick;
  private double sampleVariance;
  private double observedSeconds;

  ShiftingEstimate(double memorySeconds, double shiftSeconds, double deviations) {
    this.memorySeconds = memorySeconds;
    this.shiftSeconds = shiftSeconds;
    this.deviations = deviations;
  }

  /** Takes in the rate seen over a window; true when it shows a shift. */
  boolean add(double rate, double windowSeconds) {
    if (observedSeconds == 0) {
      slow = rate;
      quick = rate;
    }
    observedSeconds += windowSeconds;
    double slowMemory = Math.min(memorySeconds, observedSeconds);
    double slowShare = share(windowSeconds, slowMemory);
    double difference = rate - quick;
    sampleVariance += slowShare * (difference * difference - sampleVariance);
    slow += slowShare * (rate - slow);
    quick += share(windowSeconds, shiftSeconds) * (rate - quick);
    boolean isShift = isShift(windowSeconds);
    if (isShift) {
      slow = quick;
      observedSeconds = Math.max(shiftSeconds, windowSeconds);
    }
    return isShift;
  }

  /** The rate expected now. */
  double value() {
    return slow;
  }

  private boolean isShift(double windowSeconds) {
    double averaged = windowSeconds / (2 * shiftSeconds + windowSeconds);
    double quickVariance = sampleVariance * averaged + SQUARED_NOISE_FLOOR;
    double difference = quick - slow;
    return difference * difference > deviations * deviations * quickVariance;
  }

  private static double share(double windowSeconds, double memorySeconds) {
    return 1 - Math.exp(-windowSeconds / memorySeconds);
  }
}
