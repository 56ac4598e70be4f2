package org.fallturn.node.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementRequest;

/** A request on its way to a place. Changed by the client's duty thread only. */
final class PendingPlacement {
  private static final long NANOS_PER_MILLI = 1_000_000;

  final PlacementRequest request;
  final long deadlineNanos;
  final CompletableFuture<PlacementAnswer> answer = new CompletableFuture<>();
  final Deque<PoolChoice> plan = new ArrayDeque<>();
  Optional<NodeId> leader = Optional.empty();
  Optional<PlacementAnswer.Refused> refusal = Optional.empty();
  Optional<PoolChoice> asked = Optional.empty();
  int asks;
  long askedNanos;

  PendingPlacement(PlacementRequest request, long nowNanos) {
    this.request = request;
    this.deadlineNanos = nowNanos + request.deadlineMillis() * NANOS_PER_MILLI;
  }

  /** The pool it is to run in, as planned now. */
  PoolId pool() {
    return asked.orElseThrow().pool();
  }

  /** The request with the time that is left. */
  PlacementRequest remaining(long nowNanos) {
    return request.withDeadlineMillis((deadlineNanos - nowNanos) / NANOS_PER_MILLI);
  }

  /**
   * A pool to ask.
   *
   * @param pool which one
   * @param mayQueue whether to wait in its queue
   */
  record PoolChoice(PoolId pool, boolean mayQueue) {}
}
