package org.fallturn.core.dispatch;

import java.util.Optional;
import org.fallturn.core.routing.Caller;
import org.fallturn.core.routing.Rank;
import org.fallturn.core.routing.Route;

/**
 * The facts about a request that decisions are based on; its head and body are passed through
 * unchanged. Immutable.
 *
 * @param requestId id that the caller gave this request; a retry by the caller has another
 * @param route the route that the request matched when it came
 * @param path its path without the query
 * @param caller on whose behalf it runs
 * @param rank its place in the order of urgency of its service
 * @param prompt size and parts of its prompt; empty for an application request
 * @param resumed the stream that it continues; empty for a request that begins anew
 * @param arrivedNanos when the whole request had been received
 * @param answerByNanos the deadline: when the caller or the operator stops waiting, whichever is
 *     first
 */
public record RequestEnvelope(
    String requestId,
    Route route,
    String path,
    Caller caller,
    Rank rank,
    Optional<PromptShape> prompt,
    Optional<ResumedStream> resumed,
    long arrivedNanos,
    long answerByNanos) {

  /**
   * A request that arrives with less than this part of its route's timeout left is taken to have
   * been sent by its caller before.
   */
  private static final double FIRST_TRY_MIN_FRACTION = 0.9;

  /** A new request at a route's prefix whose caller is not checked. */
  public RequestEnvelope(
      String requestId,
      Route route,
      Optional<PromptShape> prompt,
      long arrivedNanos,
      long answerByNanos) {
    this(
        requestId,
        route,
        route.pathPrefix(),
        Caller.UNCHECKED,
        Rank.of(route),
        prompt,
        Optional.empty(),
        arrivedNanos,
        answerByNanos);
  }

  /**
   * Time left until the caller leaves because the answer has not begun; negative when it has
   * passed.
   */
  public long remainingToBeginNanos(long nowNanos) {
    long untilCallerLeaves = arrivedNanos + route.beginPatience().toNanos() - nowNanos;
    return Math.min(untilCallerLeaves, remainingNanos(nowNanos));
  }

  /** Whether the caller has spent part of its time on an earlier try of this request. */
  boolean hasReturned(long nowNanos) {
    return remainingNanos(nowNanos) < FIRST_TRY_MIN_FRACTION * route.timeout().toNanos();
  }

  /** Time left until the deadline; negative when it has passed. */
  public long remainingNanos(long nowNanos) {
    return answerByNanos - nowNanos;
  }
}
