package org.fallturn.rehearsal.fleet;

import java.util.List;

/**
 * How one call ended, as its caller saw it.
 *
 * @param verdict what became of it
 * @param status HTTP status; 0 when none came
 * @param detail error kind, or what was wrong
 * @param firstTokenNanos time to the first token; 0 where there is none
 * @param totalNanos time to the end
 * @param gapNanos times between one event and the next
 */
public record CallResult(
    Verdict verdict,
    int status,
    String detail,
    long firstTokenNanos,
    long totalNanos,
    List<Long> gapNanos) {

  /** What became of a call. */
  public enum Verdict {
    /** The whole answer, and every byte of it right. */
    COMPLETE,
    /** Refused, and said not to have run. */
    NOT_RUN,
    /** An error that says the outcome is unknown. */
    UNKNOWN,
    /** The connection ended without a whole answer and without an error. */
    CUT,
    /** Bytes that are not of this answer, or a short answer that looks whole. */
    WRONG
  }

  /** A private copy of the gaps. */
  public CallResult {
    gapNanos = List.copyOf(gapNanos);
  }
}
