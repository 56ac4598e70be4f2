package org.fallturn.node.engine;

import org.fallturn.core.request.AttemptFailure;

/** An engine did not answer as asked; says what is known of the work. */
public class EngineCallException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient AttemptFailure failure;

  /** Wraps what is known. */
  public EngineCallException(AttemptFailure failure, Throwable cause) {
    super(failure.message(), cause);
    this.failure = failure;
  }

  /** What is known of the work. */
  public AttemptFailure failure() {
    return failure;
  }
}
