package org.fallturn.core.dispatch;

import java.util.Optional;
import org.fallturn.core.quarantine.Quarantine;
import org.fallturn.core.quarantine.QuarantineStatus;
import org.fallturn.core.routing.ServingEngine;

/**
 * Applies the quarantine to the sends of the dispatcher: refuses requests that crash engines, lets
 * suspected ones run where a crash does the least harm, and reports how attempts end.
 *
 * <p>Invariant: every send passes {@link #refusal} first. When a content was sent on under every
 * new id, it crashed 20 engines in 14 s, and all requests that ran beside it ended with them. Only
 * the dispatch thread calls.
 */
final class QuarantineGate {

  private final Quarantine quarantine;
  private final Refusals refusals;

  QuarantineGate(Quarantine quarantine, Refusals refusals) {
    this.quarantine = quarantine;
    this.refusals = refusals;
  }

  Quarantine quarantine() {
    return quarantine;
  }

  /**
   * Refuses a request that must not be sent now. Otherwise isolates it if it is suspected, and
   * returns nothing.
   */
  Optional<Decision> refusal(RequestProgress progress, long nowNanos) {
    QuarantineStatus status =
        quarantine.status(progress.content(), progress.possibleRuns() > 0, nowNanos);
    progress.isolate(status == QuarantineStatus.SUSPECTED);
    return switch (status) {
      case CLEAR, SUSPECTED -> Optional.empty();
      case ON_TRIAL -> Optional.of(refusals.onTrial(progress));
      case QUARANTINED ->
          Optional.of(
              refusals.quarantined(progress, quarantine.quarantinedParts(progress.content())));
    };
  }

  /** Ends a request that must not be sent again after a failed attempt. */
  Optional<Decision> refusalAfter(AttemptOutcome outcome, RequestProgress progress, long nowNanos) {
    Optional<Decision> refusal = refusal(progress, nowNanos);
    return outcome == AttemptOutcome.ANSWERED_FAILURE
        ? refusal.map(refused -> refusals.after(progress, outcome, Optional.empty()))
        : refusal;
  }

  void onSent(RequestProgress progress) {
    quarantine.onSent(progress.content(), progress);
  }

  /** Handles a failed attempt, before the request is released from its engine. */
  void onFailure(
      RequestProgress progress, ServingEngine engine, AttemptOutcome outcome, long nowNanos) {
    if (outcome.mayBeCrash()) {
      quarantine.onCrash(
          progress.content(), engine.id(), progress.attemptForQuarantine(), nowNanos);
    }
  }

  /**
   * Handles a complete answer, before the request is released from its engine.
   *
   * @param endIsMarked whether the answer itself told where it ends
   */
  void onSuccess(RequestProgress progress, boolean endIsMarked, long nowNanos) {
    if (endIsMarked) {
      quarantine.onSuccess(progress.content(), nowNanos);
      return;
    }
    progress
        .engine()
        .filter(engine -> !engine.leaving())
        .ifPresent(
            engine ->
                quarantine.onUnconfirmedSuccess(
                    progress.content(), engine.id(), progress.attemptForQuarantine(), nowNanos));
  }

  void onEnded(RequestProgress progress) {
    quarantine.onEnded(progress);
  }
}
