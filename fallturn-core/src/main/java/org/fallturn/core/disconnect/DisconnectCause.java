package org.fallturn.core.disconnect;

/** Why the connection of a request ended before its answer did. */
public enum DisconnectCause {
  /** This node gave the request up. */
  GIVEN_UP,
  /** This node gave it up since its engine had said nothing to any node for long. */
  ENGINE_SILENT,
  /** The other side ended it before any event: most engines lose or refuse a request like that. */
  LOST,
  /** It broke off between events, so that the engine was at work. */
  BROKEN_MIDWAY
}
