package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.membership.RendezvousHash;

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

  private static final double NANOS_PER_MILLI = 1e6;

  /** Callers do not wait for longer than a third of the time that they have left. */
  private static final double RETURN_PART = 0.3;

  /** Callers that are told the same come back within the second half of the time. */
  private static final double LEAST_SPREAD = 0.5;

  private Duration minRetryAfter;

  Refusals(DispatchParameters parameters) {
    setParameters(parameters);
  }

  void setParameters(DispatchParameters parameters) {
    minRetryAfter = parameters.minRetryAfter();
  }

  /** No engine has run it, and it may come back. */
  Decision notRun(ErrorKind kind, RefusalCause cause, String reason) {
    return new Decision.Refuse(kind, cause, reason, Optional.of(minRetryAfter));
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
        : notRun(
            ErrorKind.NO_CAPACITY,
            RefusalCause.NO_ENGINE,
            "no engine of " + progress.service() + " is there");
  }

  /** Who comes back sooner is refused again, at the cost of a try; the more urgent return first. */
  private Decision whileNoneIsOpen(RequestProgress progress, Duration closed) {
    Duration comeBack = closed.plus(RETURN_STEP.multipliedBy(progress.envelope().rank().place()));
    return new Decision.Refuse(
        ErrorKind.NO_CAPACITY,
        RefusalCause.CLOSED,
        "every engine of "
            + progress.service()
            + " rests or has no room within its limit, the first for "
            + closed.toMillis()
            + " ms",
        Optional.of(atLeastMin(comeBack)));
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
      return notRun(
          ErrorKind.NO_CAPACITY,
          RefusalCause.TURNED_AWAY,
          "no engine of " + progress.service() + " took it");
    }
    return new Decision.Refuse(
        ErrorKind.OUTCOME_UNKNOWN,
        RefusalCause.OUTCOME_UNKNOWN,
        "an engine may have run it: " + outcome,
        Optional.empty());
  }

  /**
   * It would not be served in the time it has left, or has to go for more urgent ones. Callers come
   * back after a part of their time at the longest, and not all at once.
   *
   * @param forecastMillis in about how many ms there is room
   */
  Decision noRoom(
      RequestProgress progress,
      RefusalCause cause,
      double forecastMillis,
      String reason,
      long nowNanos) {
    double left = progress.envelope().remainingNanos(nowNanos) / NANOS_PER_MILLI;
    double draw = RendezvousHash.draw(progress.envelope().requestId(), reason);
    double spread = LEAST_SPREAD + (1 - LEAST_SPREAD) * draw;
    double millis = Math.min(forecastMillis, RETURN_PART * left) * spread;
    Duration comeBack = Duration.ofNanos((long) (Math.max(0, millis) * NANOS_PER_MILLI));
    return new Decision.Refuse(
        ErrorKind.NO_CAPACITY, cause, reason, Optional.of(atLeastMin(comeBack)));
  }

  /** Nobody is told to come back sooner than the least time. */
  Duration atLeastMin(Duration comeBack) {
    return comeBack.compareTo(minRetryAfter) > 0 ? comeBack : minRetryAfter;
  }

  /** This node stops and lets nothing wait any longer. */
  Decision stopping() {
    return notRun(
        ErrorKind.STOPPING, RefusalCause.STOPPING, "this node stops while it waits for an engine");
  }

  /** Engines crash under it; coming back is vain. */
  Decision quarantined(RequestProgress progress) {
    String reason =
        "Not sent: engines have crashed under this request, whatever its id (content "
            + progress.content().fingerprint()
            + ").";
    ErrorKind kind =
        progress.possibleRuns() == 0 ? ErrorKind.QUARANTINED : ErrorKind.OUTCOME_UNKNOWN;
    return new Decision.Refuse(kind, RefusalCause.QUARANTINED, reason, Optional.empty());
  }
}
