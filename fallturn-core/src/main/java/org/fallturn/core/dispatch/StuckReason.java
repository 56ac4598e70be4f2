package org.fallturn.core.dispatch;

/** Why an attempt without a sign of an answer is given up. */
public enum StuckReason {
  /** Nothing but this attempt says whether its engine works. */
  NO_ANSWER,
  /** This node or several others avoid the engine, and it answers nobody. */
  ENGINE_SUSPECTED,
  /** The engine has answered nobody for longer than an engine that works. */
  ENGINE_SILENT,
  /** The engine answers others, but not over this connection. */
  CONNECTION_SILENT,
  /** The engine has read what was sent later. */
  OVERTAKEN;

  /**
   * How the attempt ended.
   *
   * @param patience of the attempt
   */
  public AttemptOutcome outcome(AttemptTimeout patience) {
    return this == ENGINE_SILENT ? AttemptOutcome.SILENT : patience.whenOver();
  }
}
