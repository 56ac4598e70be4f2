package org.fallturn.rehearsal.load;

/** How one call ended, as its caller sees it. */
enum CallEnd {
  /** Whole, right and in time. */
  IN_DEADLINE,
  /** Whole and right, but late. */
  LATE,
  /** Refused as not run. */
  NOT_RUN,
  /** Failed with unknown outcome, or the connection broke. */
  UNKNOWN,
  /** Bytes that are not those of its own answer. */
  WRONG,
  /** The caller itself gave up, as its class demands. */
  GIVEN_UP
}
