package org.fallturn.core.pace;

/**
 * How far any one piece of news is believed, so that one outlier says no more than a bad engine.
 */
final class PaceBounds {

  /** Engines that differ by more are avoided all the same. */
  private static final double MOST = Math.log(4);

  /** Factors nearer to 1 are taken to be 1. */
  static final double LEAST = Math.log(1.1);

  private PaceBounds() {}

  /**
   * What is gone by: an engine is passed over for being slow, and none is preferred for being fast.
   * All nodes would else take the one engine that seems a little faster, and at the same moment.
   */
  static double worthGoingBy(double log) {
    return log < LEAST ? 0 : bounded(log);
  }

  /** The natural logarithm of a factor. */
  static double log(double factor) {
    return factor > 0 ? bounded(Math.log(factor)) : -MOST;
  }

  static double bounded(double log) {
    return Math.max(-MOST, Math.min(MOST, log));
  }
}
