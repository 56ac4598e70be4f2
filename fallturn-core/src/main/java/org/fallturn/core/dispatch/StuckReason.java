package org.fallturn.core.dispatch;

/** Why an attempt that has brought no part of an answer is given up. */
public enum StuckReason {
  /** No other request shows whether the engine works. */
  NO_ANSWER,
  /** This node or several others suspect the engine, and it answers no request. */
  ENGINE_SUSPECTED,
  /** The engine has answered no request for longer than a working engine would take. */
  ENGINE_SILENT,
  /** The engine answers other requests, but nothing comes over this connection. */
  CONNECTION_SILENT,
  /** The engine has read prompts that were sent later. */
  OVERTAKEN;

  /** Whether the engine answers nobody, so that it is most likely dead. */
  public boolean engineIsQuiet() {
    return this == ENGINE_SILENT || this == ENGINE_SUSPECTED;
  }

  /**
   * The outcome of the attempt that is given up.
   *
   * @param timeout timeout of the attempt
   */
  public AttemptOutcome outcome(AttemptTimeout timeout) {
    return this == ENGINE_SILENT ? AttemptOutcome.SILENT : timeout.outcomeOnTimeout();
  }
}
