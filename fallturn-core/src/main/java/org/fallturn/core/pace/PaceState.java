package org.fallturn.core.pace;

/** Classification of an engine's pace for logs and metrics. */
public enum PaceState {
  /** Faster than the others of its service. */
  FAST,
  /** Like the others. */
  USUAL,
  /** Slower than the others. */
  SLOW;

  private static final double START_FACTOR = 1.2;

  /** Lower than the factor that starts the state, so that the state does not flap. */
  private static final double END_FACTOR = 1.1;

  PaceState next(double slowness) {
    double slowBound = this == SLOW ? END_FACTOR : START_FACTOR;
    double fastBound = this == FAST ? END_FACTOR : START_FACTOR;
    if (slowness >= slowBound) {
      return SLOW;
    }
    return slowness <= 1 / fastBound ? FAST : USUAL;
  }
}
