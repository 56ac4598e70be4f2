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
 * Says which application requests wait at this node, since the engines of their service have no
 * room: more than they work off before an answer is late, or more than they were seen to take. An
 * engine is given some beyond its slots all the same, so that it does not stand idle until nodes
 * hear that it has room. One thread calls.
 */
final class ApplicationQueue {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Of the mean time that requests take, what a short one takes. */
  private static final double SHORT_WORK_PART = 0.5;

  /** A forecast may be so many times too long, as few nodes have requests that wait. */
  private static final double FORECAST_MARGIN = 4;

  private final EngineSelector selector;
  private final WaitingRequests<RequestProgress> waiting = new WaitingRequests<>();
  private final SaturationLimits marks = new SaturationLimits();
  private final Map<String, CapacityShare> shares = new HashMap<>();
  private final Map<String, Double> aimsMillis = new HashMap<>();
  private int nodes = 1;
  private boolean closed;
  private RequestProgress granted;

  /**
   * What the engines of a service can take.
   *
   * @param free requests more than they have
   * @param most requests when they have none
   */
  record Room(double free, double most) {}

  ApplicationQueue(EngineSelector selector) {
    this.selector = selector;
  }

  /** Takes the number of nodes that share the engines; empty while no other has been heard. */
  void setNodeCount(OptionalInt count) {
    nodes = Math.max(1, count.orElse(1));
  }

  /** Forgets engines that are gone. */
  void retain(Set<String> engineIds) {
    marks.retain(engineIds);
  }

  /** An engine turned a request away that it did not run. */
  void onRejection(ServingEngine engine, long nowNanos) {
    int present = selector.running(engine, nowNanos);
    marks.onRejection(engine.id(), present, engine.slots(), nowNanos);
  }

  /** What waits. */
  WaitingRequests<RequestProgress> waiting() {
    return waiting;
  }

  /** From now on nothing waits here; what did is returned. */
  List<RequestProgress> close() {
    closed = true;
    return waiting.removeAll().stream().map(Waiting::request).toList();
  }

  /** Whether a request has to wait. What may have run once is sent on without another wait. */
  boolean mustWait(RequestProgress progress, List<ServingEngine> engines, long nowNanos) {
    String service = progress.service();
    double aim = progress.envelope().route().targetLatency().toNanos() / NANOS_PER_MILLI;
    aimsMillis.merge(service, aim, Math::min);
    if (progress == granted) {
      granted = null;
      return false;
    }
    if (closed || progress.isolated() || progress.possibleRuns() > 0) {
      return false;
    }
    return waiting.size(service) > 0 || !take(progress, engines, nowNanos);
  }

  private boolean take(RequestProgress progress, List<ServingEngine> engines, long nowNanos) {
    String service = progress.service();
    Room room = room(service, engines, nowNanos);
    long renewNanos = (long) (selector.renewMillis(nowNanos) * NANOS_PER_MILLI);
    return shares
        .computeIfAbsent(service, name -> new CapacityShare())
        .take(
            room.free(),
            room.most(),
            nodes,
            waiting.size(service),
            renewNanos,
            draw(progress, nowNanos),
            nowNanos);
  }

  private static double draw(RequestProgress progress, long nowNanos) {
    return RendezvousHash.draw(progress.envelope().requestId(), Long.toString(nowNanos));
  }

  /** What the engines can take now. */
  Room room(String service, List<ServingEngine> engines, long nowNanos) {
    double level = mostLevel(service, nowNanos);
    double free = 0;
    double most = 0;
    for (ServingEngine engine : engines) {
      double slowness = selector.slowness(engine, WorkKind.APPLICATION, nowNanos);
      double byTime = level * Math.max(1, engine.slots()) / slowness;
      double bound = Math.min(byTime, marks.most(engine.id(), nowNanos));
      free += Math.max(0, bound - selector.running(engine, nowNanos));
      most += bound;
    }
    return new Room(free, most);
  }

  /** Requests for each slot beyond which an answer is late, or more where engines would idle. */
  private double mostLevel(String service, long nowNanos) {
    OptionalDouble work = selector.stays().workMillis(service);
    if (work.isEmpty()) {
      return Double.POSITIVE_INFINITY;
    }
    double millis = Math.max(1, work.getAsDouble());
    double unheard = nodes > 1 ? selector.renewMillis(nowNanos) : 0;
    return Math.max(1 + unheard / millis, aimsMillis.getOrDefault(service, 0.0) / millis);
  }

  /** Lets a request wait; those that have to go for it are returned, maybe itself. */
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

  /** Requests that end their wait now, since they have no time left to be served. */
  List<RequestProgress> takeEnded(long nowNanos) {
    List<RequestProgress> ended = new ArrayList<>();
    for (String service : waiting.services()) {
      long work = workNanos(service);
      for (Waiting<RequestProgress> entry : waiting.inOrder(service, work, nowNanos)) {
        if (outOfTime(entry.request(), nowNanos)) {
          ended.add(entry.request());
        }
      }
    }
    ended.forEach(waiting::remove);
    return ended;
  }

  /** The next request that has room now, which no longer waits. */
  Optional<RequestProgress> takeNext(String service, long nowNanos) {
    List<Waiting<RequestProgress>> order = waiting.inOrder(service, workNanos(service), nowNanos);
    if (order.isEmpty()) {
      return Optional.empty();
    }
    RequestProgress first = order.get(0).request();
    List<ServingEngine> engines = selector.runCandidates(first, nowNanos);
    if (!engines.isEmpty() && !take(first, engines, nowNanos)) {
      return Optional.empty();
    }
    waiting.remove(first);
    granted = first;
    return Optional.of(first);
  }

  /** Whether too little time is left to run it, also where it is shorter than most. */
  private boolean outOfTime(RequestProgress progress, long nowNanos) {
    double least = SHORT_WORK_PART * workNanos(progress.service());
    return progress.envelope().remainingNanos(nowNanos) < least;
  }

  private long workNanos(String service) {
    return (long) (selector.stays().workMillis(service).orElse(0) * NANOS_PER_MILLI);
  }

  /** In about how many ms a request that came now would have room. */
  double forecastMillis(String service, List<ServingEngine> engines) {
    double slots = engines.stream().mapToInt(ServingEngine::slots).sum();
    double perRequest = selector.stays().workMillis(service).orElse(0) / Math.max(1, slots);
    return nodes * (1 + waiting.size(service)) * perRequest;
  }

  /** Whether a request that came now would not be served in the time that it has. */
  boolean hopeless(RequestProgress progress, List<ServingEngine> engines, long nowNanos) {
    long left = progress.envelope().remainingNanos(nowNanos);
    double least = forecastMillis(progress.service(), engines) / FORECAST_MARGIN;
    return least > TimeUnit.NANOSECONDS.toMillis(left);
  }
}
