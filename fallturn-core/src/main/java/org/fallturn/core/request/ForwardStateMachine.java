package org.fallturn.core.request;

import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.Outcome;

/**
 * State machine that decides whether a forwarded request is retried or fails after a back end did
 * not answer it. Not thread-safe.
 *
 * <p>Invariants: a request that is not repeatable is sent to no further back end once one failed
 * after it may have seen the request; the request fails with an error kind whose outcome is not-run
 * only while no back end may have seen it.
 */
public final class ForwardStateMachine {

  private final boolean repeatable;
  private final int maxAttempts;
  private int attempts;
  private boolean mayHaveBeenSeen;

  /**
   * Creates the state machine of a request that was not sent yet.
   *
   * @param repeatable whether the request may be sent again after a back end may have seen it
   * @param maxAttempts maximum number of back ends to try, at least 1
   */
  public ForwardStateMachine(boolean repeatable, int maxAttempts) {
    this.repeatable = repeatable;
    this.maxAttempts = maxAttempts;
  }

  /** What the node must do after a back end failed. */
  public sealed interface Decision {}

  /** Send the request to another back end. */
  public record TryAnother() implements Decision {}

  /**
   * Fail the request.
   *
   * @param kind error kind to answer the caller with
   * @param message one sentence for the caller
   */
  public record GiveUp(ErrorKind kind, String message) implements Decision {}

  /**
   * Handles the failure of a back end whose answer was incomplete and of which no part went to the
   * caller.
   */
  public Decision onFailure(AttemptFailure failure) {
    attempts++;
    boolean mayHaveRun = failure.kind().mayHaveRun();
    mayHaveBeenSeen |= mayHaveRun;
    if (mayHaveRun && !repeatable) {
      return new GiveUp(ErrorKind.OUTCOME_UNKNOWN, failure.message());
    }
    if (attempts >= maxAttempts) {
      return giveUp(ErrorKind.NO_CAPACITY, failure.message());
    }
    return new TryAnother();
  }

  /** Handles the case that no back end is left to try. */
  public GiveUp onNoBackEnd() {
    return giveUp(ErrorKind.NO_CAPACITY, "no back end of the service can take the request now");
  }

  /**
   * Handles the end of the request's deadline.
   *
   * @param awaitingAnswer whether the request is at a back end whose answer has not arrived
   */
  public GiveUp onDeadline(boolean awaitingAnswer) {
    mayHaveBeenSeen |= awaitingAnswer;
    ErrorKind kind = mayHaveBeenSeen ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE;
    return new GiveUp(kind, "the deadline passed");
  }

  /** Replaces a not-run error by OUTCOME_UNKNOWN once a back end may have seen the request. */
  private GiveUp giveUp(ErrorKind kind, String message) {
    boolean contradictsNotRun = kind.outcome() == Outcome.NOT_RUN && mayHaveBeenSeen;
    return new GiveUp(contradictsNotRun ? ErrorKind.OUTCOME_UNKNOWN : kind, message);
  }
}
