package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.membership.RendezvousHash;

/**
 * Says which requests are refused at once, and when to come back.
 *
 * <p>First, those whose first token is foreseen for after their caller has left, also when they
 * have come back, or their engine has failed: waiting would only take room from others, and its
 * caller is told while it may still go elsewhere. As callers ahead of it may leave, and what is
 * foreseen comes out longer or shorter, it must be well beyond; in doubt it is served. Then those
 * that would wait for long: told when to come back, a caller finds room once the worst is over,
 * where it would else have waited behind all that can be in time. Who has come back is not refused
 * for that again: it has little time left, and waits before those that are new and late. Pure.
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

  /** Callers that are told the same do not come back together. */
  private static final double LEAST_SPREAD = 0.7;

  /**
   * So many times the time that is left must be foreseen: prompts ahead whose callers leave are not
   * read.
   */
  private static final double FORESEEN_MARGIN = 1.3;

  private static final double NANOS_PER_MILLI = 1e6;

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
        readTooLate(question, plan)
            || question.waiting().refuseForeseen() && beginsTooLate(question, plan)
            || waits(plan, remaining) && firstTry(progress, question.nowNanos());
    return refused ? Optional.of(comeBack(question, plan, remaining)) : Optional.empty();
  }

  /** When what waits now has been read, as far as the caller waits for it. */
  private static Duration comeBack(
      PromptPlacement.Question question, PromptPlacement.Plan plan, long remainingNanos) {
    RequestEnvelope envelope = question.progress().envelope();
    double own = question.speed().readMillis(plan.engine().stage(), plan.readTokens());
    double wait = readTooLate(question, plan) ? plan.millis() : Math.max(0, plan.millis() - own);
    double most = RETURN_PART * remainingNanos / NANOS_PER_MILLI;
    double draw = RendezvousHash.draw(envelope.requestId(), plan.engine().id());
    double millis = Math.min(wait, most) * (LEAST_SPREAD + (1 - LEAST_SPREAD) * draw);
    return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
  }

  private static boolean beginsTooLate(
      PromptPlacement.Question question, PromptPlacement.Plan plan) {
    long left = question.progress().envelope().remainingToBeginNanos(question.nowNanos());
    return plan.millis() > FORESEEN_MARGIN * Duration.ofNanos(left).toMillis();
  }

  private static boolean readTooLate(PromptPlacement.Question question, PromptPlacement.Plan plan) {
    long left = question.progress().envelope().remainingToBeginNanos(question.nowNanos());
    double reading =
        plan.slowness() * question.speed().readMillis(plan.engine().stage(), plan.readTokens());
    return reading > Duration.ofNanos(left).toMillis();
  }

  private static boolean waits(PromptPlacement.Plan plan, long remainingNanos) {
    return plan.urgency().late()
        && plan.aheadTokens() > 0
        && plan.millis() > LONGEST_WAIT_PART * Duration.ofNanos(remainingNanos).toMillis();
  }

  private static boolean firstTry(RequestProgress progress, long nowNanos) {
    boolean neverSent = progress.runSends() == 0 && progress.prefillAttempts() == 0;
    return neverSent && !progress.envelope().hasReturned(nowNanos);
  }
}
