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

  /** Time left to answer; negative when it has passed. */
  public long remainingNanos(long nowNanos) {
    return answerByNanos - nowNanos;
  }
}
