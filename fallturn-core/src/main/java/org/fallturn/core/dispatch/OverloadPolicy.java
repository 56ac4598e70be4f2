package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.membership.RendezvousHash;

/**
 * Decides which prompts are refused at once under overload, and when their callers should try
 * again.
 *
 * <p>Two kinds of prompts are refused. First, prompts whose first token is expected only after
 * their caller has left, even if the caller has come back after a refusal or an engine has failed:
 * waiting would take capacity from others, and the caller learns of it while it can still go
 * elsewhere. The expected time must exceed the remaining time by a margin, since callers ahead may
 * leave and estimates err in both directions; in doubt the prompt is served. Second, prompts that
 * would wait for long: a caller that is told when to try again finds capacity once the peak is
 * over, whereas its prompt would wait behind all that can be in time. A caller that has come back
 * is not refused for the second reason again: it has little time left, and its prompt goes ahead of
 * new prompts that are late. Stateless.
 */
final class OverloadPolicy {

  /**
   * A late prompt that would wait for more than this part of the remaining time is refused, since
   * prompts that arrive meanwhile and can be in time go ahead of it.
   */
  private static final double MAX_WAIT_FRACTION = 0.5;

  /**
   * Callers are told to come back after at most this part of their remaining time: they do not wait
   * for longer than a third of it.
   */
  private static final double MAX_RETRY_FRACTION = 0.3;

  /**
   * The retry delay is spread at random from this part of it to the whole, so that callers that are
   * refused together do not come back together.
   */
  private static final double MIN_RETRY_SPREAD = 0.7;

  /**
   * The expected time must exceed the remaining time by this factor, since prompts ahead are not
   * read if their callers leave.
   */
  private static final double FORECAST_MARGIN = 1.3;

  private static final double NANOS_PER_MILLI = 1e6;

  private OverloadPolicy() {}

  /**
   * Returns the retry delay of a request that should be refused now; empty if it should be placed.
   */
  static Optional<Duration> refusal(PromptPlacement.Input input, PromptPlacement.Plan plan) {
    RequestProgress progress = input.progress();
    long remaining = progress.envelope().remainingNanos(input.nowNanos());
    boolean alreadyRead = progress.source().isPresent();
    if (alreadyRead || progress.possibleRuns() > 0 || !input.speed().isKnown()) {
      return Optional.empty();
    }
    boolean refused =
        readingOutlastsCaller(input, plan)
            || input.waiting().refuseForeseen() && beginsTooLate(input, plan)
            || waitsTooLong(plan, remaining) && firstTry(progress, input.nowNanos());
    return refused ? Optional.of(retryDelay(input, plan, remaining)) : Optional.empty();
  }

  /**
   * The time until the prompts that wait now have been read, limited to a part of the caller's
   * remaining time.
   */
  private static Duration retryDelay(
      PromptPlacement.Input input, PromptPlacement.Plan plan, long remainingNanos) {
    RequestEnvelope envelope = input.progress().envelope();
    double own = input.speed().readMillis(plan.engine().stage(), plan.readTokens());
    double wait =
        readingOutlastsCaller(input, plan) ? plan.millis() : Math.max(0, plan.millis() - own);
    double maxMillis = MAX_RETRY_FRACTION * remainingNanos / NANOS_PER_MILLI;
    double draw = RendezvousHash.draw(envelope.requestId(), plan.engine().id());
    double millis = Math.min(wait, maxMillis) * (MIN_RETRY_SPREAD + (1 - MIN_RETRY_SPREAD) * draw);
    return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
  }

  private static boolean beginsTooLate(PromptPlacement.Input input, PromptPlacement.Plan plan) {
    long left = input.progress().envelope().remainingToBeginNanos(input.nowNanos());
    return plan.millis() > FORECAST_MARGIN * Duration.ofNanos(left).toMillis();
  }

  private static boolean readingOutlastsCaller(
      PromptPlacement.Input input, PromptPlacement.Plan plan) {
    long left = input.progress().envelope().remainingToBeginNanos(input.nowNanos());
    double reading =
        plan.slowness() * input.speed().readMillis(plan.engine().stage(), plan.readTokens());
    return reading > Duration.ofNanos(left).toMillis();
  }

  private static boolean waitsTooLong(PromptPlacement.Plan plan, long remainingNanos) {
    return plan.urgency().late()
        && plan.aheadTokens() > 0
        && plan.millis() > MAX_WAIT_FRACTION * Duration.ofNanos(remainingNanos).toMillis();
  }

  private static boolean firstTry(RequestProgress progress, long nowNanos) {
    boolean neverSent = progress.runSends() == 0 && progress.prefillAttempts() == 0;
    return neverSent && !progress.envelope().hasReturned(nowNanos);
  }
}
