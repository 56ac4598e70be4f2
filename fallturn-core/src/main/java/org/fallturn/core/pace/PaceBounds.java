package org.fallturn.core.pace;

/**
 * Limits the effect of any single sample or report, so that one outlier weighs no more than a bad
 * engine.
 */
final class PaceBounds {

  /**
   * Logarithm of the largest factor; the smallest is its inverse. An engine that is slower is
   * avoided all the same.
   */
  private static final double MAX_LOG = Math.log(4);

  /** Factors closer to 1 than this count as 1. */
  static final double MIN_LOG = Math.log(1.1);

  private PaceBounds() {}

  /**
   * Returns the logarithm that decisions use: a slow engine is penalized, but no engine is
   * preferred for being fast. Otherwise all nodes would choose the one engine that seems a little
   * faster, and at the same moment.
   */
  static double clampToSlowdown(double log) {
    return log < MIN_LOG ? 0 : bounded(log);
  }

  /** Returns the bounded natural logarithm of a factor. */
  static double log(double factor) {
    return factor > 0 ? bounded(Math.log(factor)) : -MAX_LOG;
  }

  static double bounded(double log) {
    return Math.max(-MAX_LOG, Math.min(MAX_LOG, log));
  }
}
