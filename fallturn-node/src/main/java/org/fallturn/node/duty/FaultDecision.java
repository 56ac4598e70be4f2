package org.fallturn.node.duty;

/**
 * What follows a fault of a duty.
 *
 * @param goesOn whether the duty may go on; if not, its process is to end
 * @param pauseNanos how long it waits before
 */
public record FaultDecision(boolean goesOn, long pauseNanos) {

  /** The duty cannot go on. */
  public static final FaultDecision END = new FaultDecision(false, 0);
}
