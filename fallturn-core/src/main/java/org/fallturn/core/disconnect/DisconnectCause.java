package org.fallturn.core.disconnect;

/** Why the connection of a request ended before its answer did. */
public enum DisconnectCause {
  /** This node gave the request up. */
  GIVEN_UP,
  /** This node gave the request up since its engine answered nobody. */
  ENGINE_SILENT,
  /** The other side ended it before any event. */
  LOST,
  /** It broke off between events, so that the engine was at work. */
  BROKEN_MIDWAY
}
