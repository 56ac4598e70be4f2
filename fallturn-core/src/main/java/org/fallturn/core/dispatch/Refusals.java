package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.membership.RendezvousHash;
import org.fallturn.core.quarantine.SharedPart;

/**
 * Builds the answers to requests that no engine answers.
 *
 * <p>Invariant: an answer says that a request was not run only with the proof of the request's own
 * record. Only the dispatch thread calls.
 */
final class Refusals {

  /**
   * While no engine takes requests, callers of each lower rank are told to come back this much
   * later than those of the rank before: about the time in which the first request shows whether
   * the engine's rest has ended.
   */
  private static final Duration RETRY_STEP_PER_RANK = Duration.ofMillis(100);

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Callers are told to come back after at most this part of the time that they have left: they do
   * not wait for longer than a third of it.
   */
  private static final double MAX_RETRY_FRACTION = 0.3;

  /**
   * The retry delay is drawn from the second half of the computed time, so that callers that are
   * refused together do not come back together.
   */
  private static final double MIN_RETRY_SPREAD = 0.5;

  private Duration minRetryAfter;

  Refusals(DispatchParameters parameters) {
    setParameters(parameters);
  }

  void setParameters(DispatchParameters parameters) {
    minRetryAfter = parameters.minRetryAfter();
  }

  /**
   * Refuses a request that no engine has run; the caller may try again.
   *
   * @param kind error kind in the answer
   * @param cause cause that metrics and logs count
   * @param reason explanation for people
   */
  Decision notRun(RequestProgress progress, ErrorKind kind, RefusalCause cause, String reason) {
    return refuse(progress, kind, cause, reason, Optional.of(minRetryAfter));
  }

  /** Refuses a request with an error that tells whether an engine may have run it. */
  private static Decision refuse(
      RequestProgress progress,
      ErrorKind ifNotRun,
      RefusalCause cause,
      String reason,
      Optional<Duration> retryDelay) {
    ErrorAnswer answer =
        ErrorAnswer.of(progress.notRunProof(), ifNotRun, retryDelay, ErrorKind.OUTCOME_UNKNOWN);
    return new Decision.Refuse(answer, cause, reason);
  }

  /**
   * Refuses a request because no engine is left to send it to.
   *
   * @param closed time until the first engine takes requests again; empty unless all of them refuse
   *     requests now
   */
  Decision noEngineLeft(RequestProgress progress, Optional<Duration> closed) {
    if (progress.possibleRuns() > 0) {
      return after(progress, AttemptOutcome.LOST, closed);
    }
    return closed.isPresent()
        ? allEnginesClosed(progress, closed.get())
        : notRun(
            progress,
            ErrorKind.NO_CAPACITY,
            RefusalCause.NO_ENGINE,
            "no engine of " + progress.service() + " is there");
  }

  /**
   * Refuses a request while every engine of its service rests or has reached its limit. A caller
   * that comes back sooner would be refused again and waste a try; callers with more urgent
   * requests are told to return first.
   */
  private Decision allEnginesClosed(RequestProgress progress, Duration closed) {
    Duration retryDelay =
        closed.plus(RETRY_STEP_PER_RANK.multipliedBy(progress.envelope().rank().place()));
    return refuse(
        progress,
        ErrorKind.NO_CAPACITY,
        RefusalCause.CLOSED,
        "every engine of "
            + progress.service()
            + " rests or has no room within its limit, the first for "
            + closed.toMillis()
            + " ms",
        Optional.of(atLeastMinRetryDelay(retryDelay)));
  }

  /**
   * Refuses to continue a stream of which this node does not know at which software version it
   * began. Another node may know, or this one a moment later.
   */
  Decision originUnknown(RequestProgress progress) {
    return notRun(
        progress,
        ErrorKind.NO_CAPACITY,
        RefusalCause.ORIGIN_UNKNOWN,
        "engines of "
            + progress.service()
            + " run several software versions, and it is not known which of them began the stream");
  }

  /** Refuses to continue a stream since the list of engines could not be confirmed in time. */
  Decision enginesUnconfirmed(RequestProgress progress) {
    return notRun(
        progress,
        ErrorKind.NO_CAPACITY,
        RefusalCause.ORIGIN_UNKNOWN,
        "the store has not confirmed that engines of "
            + progress.service()
            + " run one software version alone");
  }

  /**
   * Refuses to continue a stream whose software version has no engine left. There is no retry
   * delay, since a retry would be refused again.
   */
  Decision versionGone(RequestProgress progress) {
    return refuse(
        progress,
        ErrorKind.VERSION_GONE,
        RefusalCause.VERSION_GONE,
        "No engine of the software version that began this stream is left; begin it anew.",
        Optional.empty());
  }

  /**
   * Ends a request that is not sent again after a failed attempt.
   *
   * @param outcome outcome of the last attempt
   * @param closed time until the first engine takes requests again; empty unless all of them refuse
   *     requests now
   */
  Decision after(RequestProgress progress, AttemptOutcome outcome, Optional<Duration> closed) {
    if (outcome == AttemptOutcome.ANSWERED_FAILURE) {
      return new Decision.PassFailure();
    }
    if (progress.possibleRuns() == 0 && closed.isPresent()) {
      return allEnginesClosed(progress, closed.get());
    }
    if (progress.possibleRuns() == 0) {
      return notRun(
          progress,
          ErrorKind.NO_CAPACITY,
          RefusalCause.TURNED_AWAY,
          "no engine of " + progress.service() + " took it");
    }
    return new Decision.Refuse(
        ErrorAnswer.possiblyRun(ErrorKind.OUTCOME_UNKNOWN),
        RefusalCause.OUTCOME_UNKNOWN,
        "an engine may have run it: " + outcome);
  }

  /**
   * Refuses a request that would not be served before its deadline, or that makes room for more
   * urgent ones. Callers are told to come back after a part of their remaining time at most, and
   * not all at once.
   *
   * @param forecastMillis estimated time until an engine has room, in ms
   */
  Decision noRoom(
      RequestProgress progress,
      RefusalCause cause,
      double forecastMillis,
      String reason,
      long nowNanos) {
    double left = progress.envelope().remainingNanos(nowNanos) / NANOS_PER_MILLI;
    double draw = RendezvousHash.draw(progress.envelope().requestId(), reason);
    double spread = MIN_RETRY_SPREAD + (1 - MIN_RETRY_SPREAD) * draw;
    double millis = Math.min(forecastMillis, MAX_RETRY_FRACTION * left) * spread;
    Duration retryDelay = Duration.ofNanos((long) (Math.max(0, millis) * NANOS_PER_MILLI));
    return refuse(
        progress,
        ErrorKind.NO_CAPACITY,
        cause,
        reason,
        Optional.of(atLeastMinRetryDelay(retryDelay)));
  }

  /**
   * Refuses a request whose first token would come too late.
   *
   * @param millis expected time until its first token
   */
  Decision foreseen(RequestProgress progress, double millis, Duration retryDelay) {
    return refuse(
        progress,
        ErrorKind.NO_CAPACITY,
        RefusalCause.FORESEEN,
        "it would wait " + Math.round(millis) + " ms for its first token",
        Optional.of(atLeastMinRetryDelay(retryDelay)));
  }

  /** Raises a retry delay to the configured minimum. */
  private Duration atLeastMinRetryDelay(Duration retryDelay) {
    return retryDelay.compareTo(minRetryAfter) > 0 ? retryDelay : minRetryAfter;
  }

  /** Refuses a waiting request because this node is stopping. */
  Decision stopping(RequestProgress progress) {
    return notRun(
        progress,
        ErrorKind.STOPPING,
        RefusalCause.STOPPING,
        "this node stops while it waits for an engine");
  }

  /**
   * Refuses a request whose content, or a part of whose prompt, crashes engines; there is no retry
   * delay, since a retry would be refused again.
   *
   * @param parts the parts that crash engines; empty when the whole content does
   */
  Decision quarantined(RequestProgress progress, List<SharedPart> parts) {
    String culprit =
        parts.isEmpty()
            ? "under this request, whatever its id (content "
                + progress.content().fingerprint()
                + ")"
            : parts.stream()
                .map(part -> "part " + part.id())
                .collect(Collectors.joining(" and ", "under ", " of its prompt"));
    String reason = "Not sent: engines have crashed " + culprit + ".";
    return refuse(
        progress, ErrorKind.QUARANTINED, RefusalCause.QUARANTINED, reason, Optional.empty());
  }

  /** Refuses a request while another one shows whether a part of the prompt crashes engines. */
  Decision onTrial(RequestProgress progress) {
    return notRun(
        progress,
        ErrorKind.QUARANTINED,
        RefusalCause.QUARANTINED,
        "Not sent: it is being tried whether engines crash under a part of its prompt.");
  }
}
