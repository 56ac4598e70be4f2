package org.fallturn.node.duty;

/** Whether a duty's state can be rebuilt after an Error interrupted a step of the duty. */
public enum DutyState {
  /** Only the duty holds its state, so after an Error the state is unknown. */
  HELD_ALONE,
  /** The duty reads or receives its state again, so it can be restarted. */
  LEARNED_AGAIN
}
