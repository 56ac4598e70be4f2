package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.routing.Route;

/**
 * Says which requests are refused at once. First, those whose reading alone takes longer than their
 * caller waits for the beginning, also when they have come back. Not those that would wait too long
 * behind others: callers of those others leave too, so that what waits is no measure of what is
 * read. Then those that would wait for long: told when to come back, a caller finds room once the
 * worst is over, where it would else have waited behind all that can be in time. Who has come back
 * is not refused for that again: it has little time left, and waits. Pure.
 */
final class OverloadPolicy {

  /**
   * A request that must wait for more than this part of its caller's time had better come back:
   * what arrives meanwhile and can be in time goes before it. Other parts were not tried.
   */
  private static final double LONGEST_WAIT_PART = 0.5;

  /**
   * Of its caller's time, when a request is told to come back: callers do not wait for longer than
   * a third of it.
   */
  private static final double RETURN_PART = 0.3;

  /** Less of its route's time is left to a request that was sent before. */
  private static final double FIRST_TRY_PART = 0.9;

  private OverloadPolicy() {}

  /** When to come back, for a request that should not be placed now. */
  static Optional<Duration> refusal(PromptPlacement.Question question, PromptPlacement.Plan plan) {
    RequestProgress progress = question.progress();
    long remaining = progress.envelope().remainingNanos(question.nowNanos());
    boolean read = progress.source().isPresent();
    if (read || progress.possibleRuns() > 0 || !question.speed().isKnown()) {
      return Optional.empty();
    }
    boolean refused =
        readTooLate(question, plan) || waits(plan, remaining) && firstTry(progress, remaining);
    return refused
        ? Optional.of(Duration.ofNanos((long) (RETURN_PART * remaining)))
        : Optional.empty();
  }

  private static boolean readTooLate(PromptPlacement.Question question, PromptPlacement.Plan plan) {
    long left = question.progress().envelope().remainingToBeginNanos(question.nowNanos());
    double reading =
        plan.slowness() * question.speed().readMillis(plan.engine().stage(), plan.readTokens());
    return reading > Duration.ofNanos(left).toMillis();
  }

  private static boolean waits(PromptPlacement.Plan plan, long remainingNanos) {
    return plan.urgency() == Urgency.LATE
        && plan.aheadTokens() > 0
        && plan.millis() > LONGEST_WAIT_PART * Duration.ofNanos(remainingNanos).toMillis();
  }

  private static boolean firstTry(RequestProgress progress, long remainingNanos) {
    Route route = progress.envelope().route();
    boolean neverSent = progress.arrivals() == 0 && progress.prefillAttempts() == 0;
    return neverSent && remainingNanos >= FIRST_TRY_PART * route.timeout().toNanos();
  }
}
