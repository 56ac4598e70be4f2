package org.fallturn.core.error;

/**
 * The closed list of error kinds and, beside each, the answer it maps to: HTTP status, outcome and
 * whether the caller is told when to come back. Every error a caller or an operator sees is one of
 * these.
 */
public enum ErrorKind {
  /** The request is malformed; the message names the field. */
  INVALID_REQUEST(400, Outcome.NOT_RUN, false),
  /** No key, or a key that belongs to nobody. */
  UNAUTHENTICATED(401, Outcome.NOT_RUN, false),
  /** The key is known, but no rule allows this. */
  FORBIDDEN(403, Outcome.NOT_RUN, false),
  /** The named service, model or path does not exist. */
  NOT_FOUND(404, Outcome.NOT_RUN, false),
  /** The body is larger than the setting allows. */
  TOO_LARGE(413, Outcome.NOT_RUN, false),
  /** A tenant limit is reached. */
  LIMIT_REACHED(429, Outcome.NOT_RUN, true),
  /** The pool cannot finish the request before its deadline. */
  DEADLINE_UNREACHABLE(503, Outcome.NOT_RUN, true),
  /** No engine or back end can take the request now. */
  NO_CAPACITY(503, Outcome.NOT_RUN, true),
  /** The same content has crashed several engines and is not sent any more; coming back is vain. */
  QUARANTINED(503, Outcome.NOT_RUN, false),
  /** No engine is left that can continue the stream; coming back with the same request is vain. */
  VERSION_GONE(503, Outcome.NOT_RUN, false),
  /** This node is stopping and takes no new work. */
  STOPPING(503, Outcome.NOT_RUN, true),
  /** The platform's store cannot be reached and the request needs it. */
  STORE_UNAVAILABLE(503, Outcome.NOT_RUN, true),
  /** An operator's change raced with another one; the message names what changed. */
  CONFLICT(409, Outcome.NOT_RUN, false),
  /** A request with the same idempotency key is still running. */
  IN_PROGRESS(409, Outcome.OUTCOME_UNKNOWN, true),
  /** A back end may have run a request that must not be repeated. */
  OUTCOME_UNKNOWN(502, Outcome.OUTCOME_UNKNOWN, false),
  /** The deadline passed after a back end had seen the request. */
  DEADLINE_EXCEEDED(504, Outcome.OUTCOME_UNKNOWN, false),
  /** A fault of fallturn itself, after a back end may have seen the request. */
  INTERNAL(500, Outcome.OUTCOME_UNKNOWN, false);

  private final int httpStatus;
  private final Outcome outcome;
  private final boolean retryAfter;

  ErrorKind(int httpStatus, Outcome outcome, boolean retryAfter) {
    this.httpStatus = httpStatus;
    this.outcome = outcome;
    this.retryAfter = retryAfter;
  }

  /** HTTP status of the answer. */
  public int httpStatus() {
    return httpStatus;
  }

  /** What the caller may conclude. */
  public Outcome outcome() {
    return outcome;
  }

  /** Whether the answer carries a {@code Retry-After} header. */
  public boolean hasRetryAfter() {
    return retryAfter;
  }
}
