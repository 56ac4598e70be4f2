package org.fallturn.node.duty;

/** What becomes of a duty's state when an Error cuts a step short. */
public enum DutyState {
  /** Only the duty holds it, so that it is unknown from then on. */
  HELD_ALONE,
  /** It is read or told again, so that the duty can be started anew. */
  LEARNED_AGAIN
}
