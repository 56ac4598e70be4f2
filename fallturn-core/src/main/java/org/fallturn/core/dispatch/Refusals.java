package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.error.ErrorKind;

/**
 * How a request is answered that no engine answers.
 *
 * <p>Invariant: it is called not run only when no engine can have run it. One thread calls.
 */
final class Refusals {

  /**
   * How much later the next less urgent callers come back to engines that take none now: about the
   * time in which the first request tells whether the rest has ended. Judged, not measured.
   */
  private static final Duration RETURN_STEP = Duration.ofMillis(100);

  private Duration minRetryAfter;

  Refusals(DispatchParameters parameters) {
    setParameters(parameters);
  }

  void setParameters(DispatchParameters parameters) {
    minRetryAfter = parameters.minRetryAfter();
  }

  /** No engine has run it, and it may come back. */
  Decision notRun(ErrorKind kind, String reason) {
    return new Decision.Refuse(kind, reason, Optional.of(minRetryAfter));
  }

  /**
   * There is no engine left to send it to.
   *
   * @param closed until the first engine takes requests again, where none does now
   */
  Decision nowhere(RequestProgress progress, Optional<Duration> closed) {
    if (progress.possibleRuns() > 0) {
      return after(progress, AttemptOutcome.LOST, closed);
    }
    return closed.isPresent()
        ? whileNoneIsOpen(progress, closed.get())
        : notRun(ErrorKind.NO_CAPACITY, "no engine of " + progress.service() + " is there");
  }

  /** Who comes back sooner is refused again, at the cost of a try; the more urgent return first. */
  private Decision whileNoneIsOpen(RequestProgress progress, Duration closed) {
    Duration comeBack = closed.plus(RETURN_STEP.multipliedBy(progress.envelope().rank().place()));
    return new Decision.Refuse(
        ErrorKind.NO_CAPACITY,
        "every engine of "
            + progress.service()
            + " rests or has no room within its limit, the first for "
            + closed.toMillis()
            + " ms",
        Optional.of(comeBack.compareTo(minRetryAfter) > 0 ? comeBack : minRetryAfter));
  }

  /**
   * It is not sent again after an attempt that failed.
   *
   * @param closed until the first engine takes requests again, where none does now
   */
  Decision after(RequestProgress progress, AttemptOutcome outcome, Optional<Duration> closed) {
    if (outcome == AttemptOutcome.ANSWERED_FAILURE) {
      return new Decision.PassFailure();
    }
    if (progress.possibleRuns() == 0 && closed.isPresent()) {
      return whileNoneIsOpen(progress, closed.get());
    }
    if (progress.possibleRuns() == 0) {
      return notRun(ErrorKind.NO_CAPACITY, "no engine of " + progress.service() + " took it");
    }
    return new Decision.Refuse(
        ErrorKind.OUTCOME_UNKNOWN, "an engine may have run it: " + outcome, Optional.empty());
  }

  /** Engines crash under it; coming back is vain. */
  Decision quarantined(RequestProgress progress) {
    String reason =
        "Not sent: engines have crashed under this request, whatever its id (content "
            + progress.content().fingerprint()
            + ").";
    ErrorKind kind =
        progress.possibleRuns() == 0 ? ErrorKind.QUARANTINED : ErrorKind.OUTCOME_UNKNOWN;
    return new Decision.Refuse(kind, reason, Optional.empty());
  }
}
