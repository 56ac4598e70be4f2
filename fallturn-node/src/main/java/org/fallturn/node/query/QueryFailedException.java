package org.fallturn.node.query;

import org.fallturn.core.error.Outcome;

/** A statement was refused, or no answer came. */
final class QueryFailedException extends Exception {

  private static final long serialVersionUID = 1L;

  private final Outcome outcome;

  QueryFailedException(String message, Outcome outcome, Throwable cause) {
    super(message, cause);
    this.outcome = outcome;
  }

  /** Whether the statement may have taken effect. */
  Outcome outcome() {
    return outcome;
  }
}
