package org.fallturn.core.request;

/**
 * Why an engine did not do its part of an attempt.
 *
 * @param kind what is known of the work
 * @param message one sentence for the log and the caller
 */
public record AttemptFailure(Kind kind, String message) {

  /** What is known of the work behind a failure. */
  public enum Kind {
    /** The connection failed before any byte of the request was sent. */
    NOT_SENT(false),
    /** The engine answered that it did not start the work. */
    REFUSED(false),
    /** The engine says that the request itself is wrong; it did not start. */
    MALFORMED(false),
    /** The connection broke after the request may have reached the engine. */
    BROKEN(true),
    /** Nothing came for too long. */
    STALLED(true),
    /** The engine sent what does not belong to this request, or left a gap. */
    CORRUPT(true);

    private final boolean mayHaveRun;

    Kind(boolean mayHaveRun) {
      this.mayHaveRun = mayHaveRun;
    }

    /** Whether the engine may have done some of the work. */
    public boolean mayHaveRun() {
      return mayHaveRun;
    }
  }
}
