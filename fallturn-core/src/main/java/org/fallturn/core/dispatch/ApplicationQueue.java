package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.membership.RendezvousHash;
import org.fallturn.core.pace.WorkKind;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.waiting.CapacityShare;
import org.fallturn.core.waiting.SaturationLimits;
import org.fallturn.core.waiting.WaitingRequests;
import org.fallturn.core.waiting.WaitingRequests.Waiting;

/**
 * The queue of application requests that wait at this node because the engines of their service
 * have no room. Engines have no room when they hold more requests than they can finish before an
 * answer is late, or more than they were seen to accept. Engines are nevertheless given some
 * requests beyond their slots, so that they do not idle until the nodes learn that they have room.
 * Only the dispatch thread calls.
 */
final class ApplicationQueue {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Service time of a short request, as a fraction of the mean service time. */
  private static final double SHORT_WORK_FRACTION = 0.5;

  /**
   * The forecast may be too long by this factor: it assumes that every node has as many waiting
   * requests as this one, although few nodes have any.
   */
  private static final double FORECAST_MARGIN = 4;

  private final EngineSelector selector;
  private final WaitingRequests<RequestProgress> waiting = new WaitingRequests<>();
  private final SaturationLimits saturationLimits = new SaturationLimits();
  private final Map<String, CapacityShare> shares = new HashMap<>();
  private final Map<String, Double> targetsMillis = new HashMap<>();
  private int nodes = 1;
  private boolean closed;
  private RequestProgress released;

  /**
   * Capacity of the engines of a service.
   *
   * @param free number of requests that they can take in addition to those that they have
   * @param most number of requests that they can take when they have none
   */
  record Capacity(double free, double most) {}

  ApplicationQueue(EngineSelector selector) {
    this.selector = selector;
  }

  /**
   * Sets the number of nodes that share the engines.
   *
   * @param count empty while no other node has been heard from
   */
  void setNodeCount(OptionalInt count) {
    nodes = Math.max(1, count.orElse(1));
  }

  /** Forgets engines that no longer exist. */
  void retain(Set<String> engineIds) {
    saturationLimits.retain(engineIds);
  }

  /** Records that an engine rejected a request without running it. */
  void onRejection(ServingEngine engine, long nowNanos) {
    int present = selector.running(engine, nowNanos);
    saturationLimits.onRejection(engine.id(), present, engine.slots(), nowNanos);
  }

  /** The waiting requests. */
  WaitingRequests<RequestProgress> waiting() {
    return waiting;
  }

  /** Closes the queue: no request waits here from now on. Returns the requests that waited. */
  List<RequestProgress> close() {
    closed = true;
    return waiting.removeAll().stream().map(Waiting::request).toList();
  }

  /**
   * Whether the request has to wait. A request that an engine may have run is sent on without
   * another wait.
   */
  boolean mustWait(RequestProgress progress, List<ServingEngine> engines, long nowNanos) {
    String service = progress.service();
    double targetMillis = progress.envelope().route().targetLatency().toNanos() / NANOS_PER_MILLI;
    targetsMillis.merge(service, targetMillis, Math::min);
    if (progress == released) {
      released = null;
      return false;
    }
    if (closed || progress.isolated() || progress.possibleRuns() > 0) {
      return false;
    }
    return waiting.size(service) > 0 || !tryTake(progress, engines, nowNanos);
  }

  private boolean tryTake(RequestProgress progress, List<ServingEngine> engines, long nowNanos) {
    String service = progress.service();
    Capacity capacity = capacity(service, engines, nowNanos);
    long refreshNanos = (long) (selector.refreshMillis(nowNanos) * NANOS_PER_MILLI);
    return shares
        .computeIfAbsent(service, name -> new CapacityShare())
        .take(
            capacity.free(),
            capacity.most(),
            nodes,
            waiting.size(service),
            refreshNanos,
            draw(progress, nowNanos),
            nowNanos);
  }

  private static double draw(RequestProgress progress, long nowNanos) {
    return RendezvousHash.draw(progress.envelope().requestId(), Long.toString(nowNanos));
  }

  /** Current capacity of the given engines. */
  Capacity capacity(String service, List<ServingEngine> engines, long nowNanos) {
    double maxPerSlot = maxRequestsPerSlot(service, nowNanos);
    double free = 0;
    double most = 0;
    for (ServingEngine engine : engines) {
      double slowness = selector.slowness(engine, WorkKind.APPLICATION, nowNanos);
      double boundByTime = maxPerSlot * Math.max(1, engine.slots()) / slowness;
      double bound = Math.min(boundByTime, saturationLimits.maxRequests(engine.id(), nowNanos));
      free += Math.max(0, bound - selector.running(engine, nowNanos));
      most += bound;
    }
    return new Capacity(free, most);
  }

  /**
   * The most requests per slot: as many as can be answered before the target latency, or more where
   * engines would otherwise idle until nodes learn that they have room.
   */
  private double maxRequestsPerSlot(String service, long nowNanos) {
    OptionalDouble work = selector.responseTimes().workMillis(service);
    if (work.isEmpty()) {
      return Double.POSITIVE_INFINITY;
    }
    double millis = Math.max(1, work.getAsDouble());
    double reportAgeMillis = nodes > 1 ? selector.refreshMillis(nowNanos) : 0;
    return Math.max(
        1 + reportAgeMillis / millis, targetsMillis.getOrDefault(service, 0.0) / millis);
  }

  /**
   * Adds a request to the queue. Returns the requests that were removed to keep the queue within
   * its memory, which may include the new one.
   *
   * @param maxBytes memory that the bodies of waiting requests may take
   */
  List<RequestProgress> add(RequestProgress progress, long maxBytes, long nowNanos) {
    RequestEnvelope envelope = progress.envelope();
    Waiting<RequestProgress> entry =
        new Waiting<>(
            progress,
            progress.service(),
            envelope.rank().place(),
            envelope.hasReturned(envelope.arrivedNanos()),
            envelope.arrivedNanos() + envelope.route().targetLatency().toNanos(),
            envelope.answerByNanos(),
            nowNanos,
            progress.content().bytes());
    return waiting.add(entry, maxBytes).stream().map(Waiting::request).toList();
  }

  /** Removes and returns the requests that have too little time left to be served. */
  List<RequestProgress> takeExpired(long nowNanos) {
    List<RequestProgress> expired = new ArrayList<>();
    for (String service : waiting.services()) {
      long work = workNanos(service);
      for (Waiting<RequestProgress> entry : waiting.inOrder(service, work, nowNanos)) {
        if (hasTooLittleTime(entry.request(), nowNanos)) {
          expired.add(entry.request());
        }
      }
    }
    expired.forEach(waiting::remove);
    return expired;
  }

  /**
   * Removes and returns the next request of a service if an engine has room for it, or if there is
   * no engine left that could run it.
   */
  Optional<RequestProgress> takeNext(String service, long nowNanos) {
    List<Waiting<RequestProgress>> order = waiting.inOrder(service, workNanos(service), nowNanos);
    if (order.isEmpty()) {
      return Optional.empty();
    }
    RequestProgress first = order.get(0).request();
    List<ServingEngine> engines = selector.runCandidates(first, nowNanos);
    if (!engines.isEmpty() && !tryTake(first, engines, nowNanos)) {
      return Optional.empty();
    }
    waiting.remove(first);
    released = first;
    return Optional.of(first);
  }

  /** Whether too little time is left to run the request, even if it is shorter than most. */
  private boolean hasTooLittleTime(RequestProgress progress, long nowNanos) {
    double shortestNanos = SHORT_WORK_FRACTION * workNanos(progress.service());
    return progress.envelope().remainingNanos(nowNanos) < shortestNanos;
  }

  private long workNanos(String service) {
    return (long) (selector.responseTimes().workMillis(service).orElse(0) * NANOS_PER_MILLI);
  }

  /** Estimated wait of a request that arrives now, in ms. */
  double forecastMillis(String service, List<ServingEngine> engines) {
    double slots = engines.stream().mapToInt(ServingEngine::slots).sum();
    double perRequest = selector.responseTimes().workMillis(service).orElse(0) / Math.max(1, slots);
    return nodes * (1 + waiting.size(service)) * perRequest;
  }

  /** Whether a request that arrives now would not be served before its deadline. */
  boolean cannotBeServedInTime(
      RequestProgress progress, List<ServingEngine> engines, long nowNanos) {
    long left = progress.envelope().remainingNanos(nowNanos);
    double shortestMillis = forecastMillis(progress.service(), engines) / FORECAST_MARGIN;
    return shortestMillis > TimeUnit.NANOSECONDS.toMillis(left);
  }
}
