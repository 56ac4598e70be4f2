package org.fallturn.core.placement;

import java.util.Comparator;
import org.fallturn.core.domain.TenantName;

/** A request waiting at the leader. Immutable. */
final class QueuedRequest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Earliest deadline first, then first come first served. */
  static final Comparator<QueuedRequest> BY_DEADLINE =
      Comparator.comparingLong((QueuedRequest queued) -> queued.deadlineNanos)
          .thenComparingLong(queued -> queued.sequence);

  /** First the one that is the first to have no chance any more. */
  static final Comparator<QueuedRequest> BY_LATEST_START =
      Comparator.comparingLong((QueuedRequest queued) -> queued.latestStartNanos)
          .thenComparingLong(queued -> queued.sequence);

  final PlacementRequest request;
  final long sequence;
  final long arrivedNanos;
  final long deadlineNanos;
  final long latestStartNanos;

  /**
   * A waiting request.
   *
   * @param sequence unique, rising
   * @param latestStartNanos placed later than this it would miss its deadline
   */
  QueuedRequest(
      PlacementRequest request,
      long sequence,
      long arrivedNanos,
      long deadlineNanos,
      long latestStartNanos) {
    this.request = request;
    this.sequence = sequence;
    this.arrivedNanos = arrivedNanos;
    this.deadlineNanos = deadlineNanos;
    this.latestStartNanos = latestStartNanos;
  }

  /** The request with the time that is left. */
  PlacementRequest remaining(long nowNanos) {
    return request.withDeadlineMillis((deadlineNanos - nowNanos) / NANOS_PER_MILLI);
  }

  TenantName tenant() {
    return request.tenant();
  }
}
