package org.fallturn.core.port.engine;

/**
 * Body of an engine's error answer (HTTP status 409 or 503). The engine did not start the work.
 *
 * @param reason why
 * @param message one sentence for the log
 */
public record EngineRefusal(Reason reason, String message) {

  /** The closed list of reasons. */
  public enum Reason {
    /** The engine has the other role. */
    WRONG_ROLE,
    /** Another model, version or adapter is loaded. */
    WRONG_MODEL,
    /** The engine is changing its role or loading. */
    NOT_SERVING,
    /** The engine is leaving. */
    LEAVING,
    /** Its queue is full. */
    FULL,
    /** The request is malformed. */
    MALFORMED
  }
}
