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

  /** There is no engine left to send it to. */
  Decision nowhere(RequestProgress progress) {
    return progress.possibleRuns() == 0
        ? notRun(ErrorKind.NO_CAPACITY, "no engine of " + progress.service() + " is there")
        : after(progress, AttemptOutcome.LOST);
  }

  /** It is not sent again after an attempt that failed. */
  Decision after(RequestProgress progress, AttemptOutcome outcome) {
    if (outcome == AttemptOutcome.ANSWERED_FAILURE) {
      return new Decision.PassFailure();
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
