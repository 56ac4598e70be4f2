package org.fallturn.node.duty;

/**
 * Decision on how a duty continues after a fault.
 *
 * @param goesOn whether the duty continues; if not, its process must end
 * @param pauseNanos pause before the duty continues, in nanoseconds
 */
public record FaultDecision(boolean goesOn, long pauseNanos) {

  /** The duty must end. */
  public static final FaultDecision END = new FaultDecision(false, 0);
}
