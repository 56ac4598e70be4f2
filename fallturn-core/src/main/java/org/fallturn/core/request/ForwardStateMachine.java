package org.fallturn.core.request;

import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.Outcome;

/**
 * Decides what follows when a back end did not answer a forwarded request. Not thread-safe.
 *
 * <p>Invariants: a request that is not repeatable is sent to no further back end once one failed
 * after it may have seen the request; an error kind whose outcome is not-run only while no back end
 * may have seen the request.
 */
public final class ForwardStateMachine {

  private final boolean repeatable;
  private final int maxAttempts;
  private int attempts;
  private boolean mayHaveBeenSeen;

  /**
   * A request that was not sent yet.
   *
   * @param repeatable whether it may be sent again after a back end may have seen it
   * @param maxAttempts most back ends tried
   */
  public ForwardStateMachine(boolean repeatable, int maxAttempts) {
    this.repeatable = repeatable;
    this.maxAttempts = maxAttempts;
  }

  /** What follows. */
  public sealed interface Decision {}

  /** Send the request to another back end. */
  public record TryAnother() implements Decision {}

  /**
   * Give the request up.
   *
   * @param kind entry of the closed list
   * @param message one sentence for the caller
   */
  public record GiveUp(ErrorKind kind, String message) implements Decision {}

  /** A back end failed before its answer was whole and before any of it went to the caller. */
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

  /** No back end is left to try. */
  public GiveUp onNoBackEnd() {
    return giveUp(ErrorKind.NO_CAPACITY, "no back end of the service can take the request now");
  }

  /** The deadline passed; {@code waiting} says whether a back end's answer was awaited. */
  public GiveUp onDeadline(boolean waiting) {
    mayHaveBeenSeen |= waiting;
    ErrorKind kind = mayHaveBeenSeen ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE;
    return new GiveUp(kind, "the deadline passed");
  }

  private GiveUp giveUp(ErrorKind kind, String message) {
    boolean dishonest = kind.outcome() == Outcome.NOT_RUN && mayHaveBeenSeen;
    return new GiveUp(dishonest ? ErrorKind.OUTCOME_UNKNOWN : kind, message);
  }
}
