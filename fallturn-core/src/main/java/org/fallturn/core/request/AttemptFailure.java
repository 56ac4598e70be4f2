package org.fallturn.core.request;

/**
 * The failure of one attempt at an engine or another back end. Immutable.
 *
 * @param kind how the attempt failed, and with it whether the work may have run
 * @param message one sentence for the log and the caller
 */
public record AttemptFailure(Kind kind, String message) {

  /** How an attempt failed. */
  public enum Kind {
    /** The connection failed before any byte of the request was sent. */
    NOT_SENT(false),
    /** The engine answered that it did not start the work. */
    REFUSED(false),
    /** The engine rejected the request as invalid and did not start the work. */
    MALFORMED(false),
    /** The connection broke after the request may have reached the engine. */
    BROKEN(true),
    /** The engine sent nothing for longer than the permitted time. */
    STALLED(true),
    /** The engine sent data that does not belong to this request, or a stream with a gap. */
    CORRUPT(true);

    private final boolean mayHaveRun;

    Kind(boolean mayHaveRun) {
      this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the engine may have done some of the work. */
    public boolean mayHaveRun() {
      return mayHaveRun;
    }
  }
}
