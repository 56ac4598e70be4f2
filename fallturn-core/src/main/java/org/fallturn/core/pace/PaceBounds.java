package org.fallturn.core.pace;

/**
 * How far any one piece of news is believed, so that one outlier says no more than a bad engine.
 */
final class PaceBounds {

  /** Engines that differ by more are avoided all the same. */
  private static final double MOST = Math.log(4);

  private PaceBounds() {}

  /** The natural logarithm of a factor. */
  static double log(double factor) {
    return factor > 0 ? bounded(Math.log(factor)) : -MOST;
  }

  static double bounded(double log) {
    return Math.max(-MOST, Math.min(MOST, log));
  }
}
