package org.fallturn.core.disconnect;

/** What one start of an engine does with a run whose connection ends. */
public enum DisconnectHandling {
  /** Not seen yet. */
  UNKNOWN,
  /** It was seen to cancel such a run. */
  CANCELS,
  /** It was seen to work on after the connection had ended. */
  WORKS_ON
}
