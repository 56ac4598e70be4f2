package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.Outcome;

/**
 * An error with which this node answers a request that it has taken.
 *
 * @param kind error kind in the answer
 * @param proof shows that the request has not run; present where the kind says so
 * @param retryAfter when the caller may try again; present only where the request was not run
 */
public record ErrorAnswer(
    ErrorKind kind, Optional<NotRunProof> proof, Optional<Duration> retryAfter) {

  /** Rejects a kind that says "not run" without proof, or anything else in spite of it. */
  public ErrorAnswer {
    if ((kind.outcome() == Outcome.NOT_RUN) != proof.isPresent()) {
      throw new IllegalArgumentException(kind + " does not fit what is known of the run");
    }
  }

  /**
   * The answer that tells what is known.
   *
   * @param proof empty if the request may have run
   * @param retryAfter when the caller may try again, if it was not run
   */
  public static ErrorAnswer of(
      Optional<NotRunProof> proof,
      ErrorKind ifNotRun,
      Optional<Duration> retryAfter,
      ErrorKind ifPossiblyRun) {
    return proof
        .map(shown -> notRun(ifNotRun, shown, retryAfter))
        .orElseGet(() -> possiblyRun(ifPossiblyRun));
  }

  /** The answer to a request that has not run. */
  public static ErrorAnswer notRun(
      ErrorKind kind, NotRunProof proof, Optional<Duration> retryAfter) {
    return new ErrorAnswer(kind, Optional.of(proof), retryAfter);
  }

  /** The answer to a request that may have run. */
  public static ErrorAnswer possiblyRun(ErrorKind kind) {
    return new ErrorAnswer(kind, Optional.empty(), Optional.empty());
  }
}
