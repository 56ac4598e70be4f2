package org.fallturn.core.placement;

import java.util.Comparator;
import java.util.TreeSet;
import org.fallturn.core.domain.TenantName;

/**
 * One tenant's waiting requests of one urgency, with its virtual start and finish tags. Its place
 * in the sets of {@link FairQueue} depends on its fields, so only that class changes it, while it
 * is out of those sets.
 */
final class TenantQueue {
  /** The tenant whose turn it is first. */
  static final Comparator<TenantQueue> BY_START =
      Comparator.comparingDouble((TenantQueue queue) -> queue.startTag)
          .thenComparingLong(queue -> queue.requests.first().deadlineNanos)
          .thenComparing(queue -> queue.tenant);

  /** The tenant with the longest queue for its weight last. */
  static final Comparator<TenantQueue> BY_BACKLOG =
      Comparator.comparingDouble((TenantQueue queue) -> queue.requests.size() / queue.weight)
          .thenComparing(queue -> queue.tenant);

  final TenantName tenant;
  final TreeSet<QueuedRequest> requests = new TreeSet<>(QueuedRequest.BY_DEADLINE);
  double weight = 1;
  double startTag;
  double finishTag;
  long promptTokens;
  long outputTokens;

  TenantQueue(TenantName tenant) {
    this.tenant = tenant;
  }
}
