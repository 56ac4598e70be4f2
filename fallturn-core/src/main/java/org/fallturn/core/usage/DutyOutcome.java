package org.fallturn.core.usage;

/** What became of a call to the platform's API. */
public enum DutyOutcome {
  /** The platform has taken it. */
  TAKEN,
  /** A holder with a higher fencing token has called: this node no longer has the duty. */
  FENCED,
  /** The platform said that it did not take it now. */
  REFUSED,
  /** No answer came; it may be carried out, even later. */
  UNANSWERED
}
