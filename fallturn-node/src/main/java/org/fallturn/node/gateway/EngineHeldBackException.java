package org.fallturn.node.gateway;

/**
 * Thrown in place of sending when an engine takes nothing from this node: it is leaving, has asked
 * for a pause, or its rate limit is used up.
 */
final class EngineHeldBackException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Has no stack trace: one is created for each request held back, and nobody inspects it. */
  EngineHeldBackException(String engineId) {
    super(engineId + " wants nothing from this node", null, false, false);
  }
}
