package org.fallturn.core.disconnect;

/** What one start of an engine does with a run whose connection ends. */
public enum DisconnectHandling {
  /** Not seen often enough. */
  UNKNOWN,
  /** It was seen to cancel such runs, and never to work on. */
  CANCELS,
  /** It was seen to work on after a connection had ended. */
  WORKS_ON
}
