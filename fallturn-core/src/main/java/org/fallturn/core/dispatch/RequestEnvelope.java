package org.fallturn.core.dispatch;

import java.util.Optional;
import org.fallturn.core.routing.Caller;
import org.fallturn.core.routing.Rank;
import org.fallturn.core.routing.Route;

/**
 * All that is decided on for one request; its head and body pass through untouched. Immutable.
 *
 * @param requestId the caller's id of this attempt
 * @param route the route it came on
 * @param caller on whose behalf it runs
 * @param rank its place among the requests of its service
 * @param prompt shape of its prompt; empty for an application request
 * @param arrivedNanos when it was read whole
 * @param answerByNanos when the caller or the operator stops waiting, whichever is first
 */
public record RequestEnvelope(
    String requestId,
    Route route,
    Caller caller,
    Rank rank,
    Optional<PromptShape> prompt,
    long arrivedNanos,
    long answerByNanos) {

  /** Less of its route's time is left to a request that was sent before. */
  private static final double FIRST_TRY_PART = 0.9;

  /** A request whose sender is not checked. */
  public RequestEnvelope(
      String requestId,
      Route route,
      Optional<PromptShape> prompt,
      long arrivedNanos,
      long answerByNanos) {
    this(requestId, route, Caller.UNCHECKED, Rank.of(route), prompt, arrivedNanos, answerByNanos);
  }

  /** Time left to begin the answer before the caller leaves; negative when it has passed. */
  public long remainingToBeginNanos(long nowNanos) {
    long patience = arrivedNanos + route.beginPatience().toNanos() - nowNanos;
    return Math.min(patience, remainingNanos(nowNanos));
  }

  /** Whether its caller has spent some of its time before, and comes back with the rest. */
  boolean hasReturned(long nowNanos) {
    return remainingNanos(nowNanos) < FIRST_TRY_PART * route.timeout().toNanos();
  }

  /** Time left to answer; negative when it has passed. */
  public long remainingNanos(long nowNanos) {
    return answerByNanos - nowNanos;
  }
}
