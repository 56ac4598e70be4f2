package org.fallturn.core.pace;

/** What an engine is called, for logs and figures. */
public enum PaceState {
  /** Faster than the others of its service. */
  FAST,
  /** Like the others. */
  USUAL,
  /** Slower than the others. */
  SLOW;

  private static final double BEGINS = 1.2;

  /** Less than what begins it, so that it does not change to and fro. */
  private static final double ENDS = 1.1;

  PaceState next(double slowness) {
    double slowBound = this == SLOW ? ENDS : BEGINS;
    double fastBound = this == FAST ? ENDS : BEGINS;
    if (slowness >= slowBound) {
      return SLOW;
    }
    return slowness <= 1 / fastBound ? FAST : USUAL;
  }
}
