package org.fallturn.core.usage;

/** Result of a call to the platform's API that only the current holder of a duty may make. */
public enum DutyOutcome {
  /** The platform accepted the call. */
  TAKEN,
  /** A holder with a higher fencing token has called; this node no longer holds the duty. */
  FENCED,
  /** The platform answered that it did not accept the call now. */
  REFUSED,
  /** No answer came; the platform may have carried out the call or may do so later. */
  UNANSWERED
}
