package org.fallturn.node.gateway;

/**
 * Thrown in place of sending when an engine takes nothing from this node: it is leaving, has asked
 * for a pause, or its rate limit is used up.
 */
final class EngineHeldBackException extends WithheldException {

  private static final long serialVersionUID = 1L;

  EngineHeldBackException(String engineId) {
    super(engineId + " wants nothing from this node");
  }
}
