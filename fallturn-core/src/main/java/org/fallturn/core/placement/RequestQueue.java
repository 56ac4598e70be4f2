package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;

/**
 * All requests waiting at a leader: strict urgency, then weighted fairness among tenants, then
 * earliest deadline. A request that waits only because some engines are excluded for it is set
 * aside, so that it does not hold up those behind it; it is tried first whenever there may be room.
 */
final class RequestQueue {
  private final Map<Urgency, FairQueue> queues = new EnumMap<>(Urgency.class);
  private final Map<RequestId, QueuedRequest> byId = new HashMap<>();
  private final TreeSet<QueuedRequest> byLatestStart = new TreeSet<>(QueuedRequest.BY_LATEST_START);
  private final Map<Urgency, TreeSet<QueuedRequest>> latestStartByUrgency =
      new EnumMap<>(Urgency.class);
  private final TreeSet<QueuedRequest> setAside = new TreeSet<>(QueuedRequest.BY_DEADLINE);

  RequestQueue() {
    for (Urgency urgency : Urgency.values()) {
      queues.put(urgency, new FairQueue());
      latestStartByUrgency.put(urgency, new TreeSet<>(QueuedRequest.BY_LATEST_START));
    }
  }

  int size() {
    return byId.size();
  }

  FairQueue queue(Urgency urgency) {
    return queues.get(urgency);
  }

  void add(QueuedRequest queued) {
    byId.put(queued.request.requestId(), queued);
    byLatestStart.add(queued);
    latestStartByUrgency.get(queued.request.urgency()).add(queued);
    queueOf(queued).add(queued);
  }

  Optional<QueuedRequest> find(RequestId requestId) {
    return Optional.ofNullable(byId.get(requestId));
  }

  /** The request whose turn it is, or empty. */
  Optional<QueuedRequest> first() {
    Urgency[] urgencies = Urgency.values();
    for (int index = urgencies.length - 1; index >= 0; index--) {
      Optional<QueuedRequest> first = queues.get(urgencies[index]).first();
      if (first.isPresent()) {
        return first;
      }
    }
    return Optional.empty();
  }

  /** The requests that are set aside, earliest deadline first. */
  List<QueuedRequest> setAside() {
    return new ArrayList<>(setAside);
  }

  /** Sets a request aside. Its tenant is not charged until it is served. */
  void setAside(QueuedRequest queued) {
    queueOf(queued).removeUnserved(queued);
    setAside.add(queued);
  }

  /** Takes out a request that was placed at a cost in engine seconds. */
  void removeServed(QueuedRequest queued, double cost) {
    forget(queued);
    if (setAside.remove(queued)) {
      queueOf(queued).correctCost(queued.tenant(), queued.request.shareWeight(), cost);
    } else {
      queueOf(queued).removeServed(queued, cost);
    }
  }

  /** Takes out a request that was refused or went away. */
  void removeUnserved(QueuedRequest queued) {
    forget(queued);
    if (!setAside.remove(queued)) {
      queueOf(queued).removeUnserved(queued);
    }
  }

  /** Takes out and returns the requests that have no chance any more. */
  List<QueuedRequest> removeHopeless(long nowNanos) {
    List<QueuedRequest> hopeless = new ArrayList<>();
    while (!byLatestStart.isEmpty() && byLatestStart.first().latestStartNanos < nowNanos) {
      QueuedRequest queued = byLatestStart.first();
      removeUnserved(queued);
      hopeless.add(queued);
    }
    return hopeless;
  }

  /** Takes out and returns every request. */
  List<QueuedRequest> removeAll() {
    List<QueuedRequest> all = new ArrayList<>(byLatestStart);
    all.forEach(this::removeUnserved);
    return all;
  }

  /** When the next request has no chance any more; empty when none waits. */
  Optional<Long> nextLatestStartNanos() {
    return byLatestStart.isEmpty()
        ? Optional.empty()
        : Optional.of(byLatestStart.first().latestStartNanos);
  }

  /** When the first request of an urgency has no chance any more; empty when none waits. */
  Optional<Long> earliestLatestStartNanos(Urgency urgency) {
    TreeSet<QueuedRequest> waiting = latestStartByUrgency.get(urgency);
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first().latestStartNanos);
  }

  /**
   * Which waiting request gives way to a newcomer when the queue is full: one of the least urgent,
   * when that is less urgent than the newcomer; of equal urgency only one of a tenant that has a
   * longer queue for its weight than the newcomer's. Empty: the newcomer itself is refused.
   */
  Optional<QueuedRequest> givesWayTo(PlacementRequest newcomer) {
    for (Urgency urgency : Urgency.values()) {
      if (urgency.compareTo(newcomer.urgency()) > 0) {
        return Optional.empty();
      }
      FairQueue queue = queues.get(urgency);
      Optional<QueuedRequest> last = queue.lastOfLongest();
      if (last.isEmpty()) {
        continue;
      }
      TenantName longest = last.get().tenant();
      boolean gives =
          urgency != newcomer.urgency()
              || queue.backlogOf(longest)
                  > queue.backlogOf(newcomer.tenant()) + 1 / newcomer.shareWeight();
      return gives ? last : Optional.empty();
    }
    return Optional.empty();
  }

  private FairQueue queueOf(QueuedRequest queued) {
    return queues.get(queued.request.urgency());
  }

  private void forget(QueuedRequest queued) {
    byId.remove(queued.request.requestId());
    byLatestStart.remove(queued);
    latestStartByUrgency.get(queued.request.urgency()).remove(queued);
  }
}
