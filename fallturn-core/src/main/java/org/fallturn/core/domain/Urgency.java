package org.fallturn.core.domain;

/** How urgent a request is. Strict order: a later constant always goes before an earlier one. */
public enum Urgency {
  /** Work that fills idle capacity, for example registry batch look-ups. */
  BATCH,
  /** The default of an interactive request. */
  NORMAL,
  /** A person is waiting, for example a caseworker or a picker. */
  HIGH,
  /** An emergency call. */
  EMERGENCY
}
