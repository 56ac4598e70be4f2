package org.fallturn.node.placement;

import io.micrometer.core.instrument.Counter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.placement.EngineListing;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementProgress.Stage;
import org.fallturn.core.placement.PoolMap;
import org.fallturn.core.placement.SpillPlan;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.duty.DutyHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The work of {@link PlacementClient}. Runs on one duty thread. */
final class ClientDuty implements DutyHandler<ClientEvent> {
  private static final Logger LOG = LoggerFactory.getLogger(ClientDuty.class);
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long RETRY_MILLIS = 1_000;
  private static final int MAX_SPILLS = 2;
  private static final int SILENCE_FACTOR = 4;
  private static final long FORGET_NANOS = 5_000 * NANOS_PER_MILLI;

  /** A leader may hold an answer back this long; then it is asked again and keeps the place. */
  private static final long HOLD_NANOS = 15_000 * NANOS_PER_MILLI;

  private static final int QUIET_FRACTION = 2;

  private final ClientParts parts;
  private final Consumer<ClientEvent> events;
  private final SpillPlan spillPlan;
  private final LeaderlessFallback fallback;
  private final RandomGenerator random = RandomGenerator.getDefault();
  private final Set<PendingPlacement> pending = new LinkedHashSet<>();
  private final Map<NodeId, LeaderLink> links = new HashMap<>();
  private final long silenceNanos;
  private final Counter withoutLeader;
  private final Counter spilled;
  private final Counter dropped;
  private MachineList mappedMachines;
  private PoolMap pools;

  ClientDuty(ClientParts parts, Consumer<ClientEvent> events) {
    this.parts = parts;
    this.events = events;
    this.spillPlan = new SpillPlan(parts.zone(), parts.region());
    this.fallback = new LeaderlessFallback(parts.client(), random, events);
    this.silenceNanos = parts.settings().answerTimeout().toNanos();
    this.withoutLeader = parts.metrics().counter("fallturn.placement.without_leader");
    this.spilled = parts.metrics().counter("fallturn.placement.spilled");
    this.dropped = parts.metrics().counter("fallturn.placement.dropped_events");
  }

  void countDroppedEvent() {
    dropped.increment();
  }

  @Override
  public void onEvent(ClientEvent event) {
    long now = System.nanoTime();
    if (event instanceof ClientEvent.Asked asked) {
      begin(asked.pending(), now);
    } else if (event instanceof ClientEvent.Answered answered) {
      onAnswered(answered, now);
    } else if (event instanceof ClientEvent.CallFailed failed) {
      onCallFailed(failed, now);
    } else if (event instanceof ClientEvent.Reported reported) {
      onReported(reported.progress(), now);
    } else if (event instanceof ClientEvent.BatchAnswered answered) {
      onBatchAnswered(answered, now);
    } else if (event instanceof ClientEvent.BatchFailed failed) {
      LOG.debug("placement: Leader {} is silent: {}.", failed.leader(), failed.reason());
      onBatchFailed(failed.leader(), now);
    } else if (event instanceof ClientEvent.StatesRead read) {
      fallback.onStates(read, now);
    }
  }

  private void begin(PendingPlacement request, long now) {
    List<PoolId> order =
        spillPlan.order(pools(), request.request.model(), parts.directory().digests(), random);
    if (order.isEmpty()) {
      refuse(request, ErrorKind.NO_CAPACITY, "no engine is meant for the model", RETRY_MILLIS);
      return;
    }
    plan(request, order);
    pending.add(request);
    askNext(request, now);
  }

  /** The nearest pool first; when others have room, it is asked to answer at once. */
  private static void plan(PendingPlacement request, List<PoolId> order) {
    int spills = Math.min(MAX_SPILLS, order.size() - 1);
    if (spills == 0) {
      request.plan.add(new PendingPlacement.PoolChoice(order.get(0), true));
      return;
    }
    for (int index = 0; index <= spills; index++) {
      request.plan.add(new PendingPlacement.PoolChoice(order.get(index), false));
    }
    request.plan.add(new PendingPlacement.PoolChoice(order.get(0), true));
  }

  private void askNext(PendingPlacement request, long now) {
    PendingPlacement.PoolChoice next = request.plan.poll();
    if (next == null) {
      PlacementAnswer.Refused last =
          request.refusal.orElseGet(
              () ->
                  new PlacementAnswer.Refused(
                      ErrorKind.NO_CAPACITY, "no pool has room", RETRY_MILLIS));
      finish(request, last);
      return;
    }
    if (request.asked.isPresent() && !request.pool().equals(next.pool())) {
      spilled.increment();
    }
    request.asked = Optional.of(next);
    ask(request, now);
  }

  private void ask(PendingPlacement request, long now) {
    PendingPlacement.PoolChoice choice = request.asked.orElseThrow();
    request.asks++;
    request.askedNanos = now;
    Optional<LeaderDirectory.Leader> leader = parts.directory().leader(choice.pool());
    request.leader = leader.map(LeaderDirectory.Leader::node);
    if (leader.isEmpty() || isSilent(leader.get(), now)) {
      placeWithoutLeader(request, now);
      return;
    }
    int ask = request.asks;
    CompletionStage<PlacementAnswer> call = call(request, choice, leader.get(), now);
    call.whenComplete(
        (answer, failure) ->
            events.accept(
                failure == null
                    ? new ClientEvent.Answered(request, ask, choice.pool(), answer)
                    : new ClientEvent.CallFailed(
                        request, ask, leader.get().node(), failure.getMessage())));
  }

  private CompletionStage<PlacementAnswer> call(
      PendingPlacement request,
      PendingPlacement.PoolChoice choice,
      LeaderDirectory.Leader leader,
      long now) {
    if (leader.node().equals(parts.self())) {
      return parts.local().place(choice.pool(), choice.mayQueue(), request.remaining(now));
    }
    PoolPlacementRequest message =
        new PoolPlacementRequest(choice.pool(), choice.mayQueue(), request.remaining(now));
    long remainingNanos = Math.max(0, request.deadlineNanos - now);
    long timeoutNanos = Math.min(remainingNanos, HOLD_NANOS) + SILENCE_FACTOR * silenceNanos;
    return parts
        .client()
        .post(
            leader.address(),
            PlacementModule.PLACEMENT_PATH,
            message,
            PlacementAnswer.class,
            Duration.ofNanos(timeoutNanos));
  }

  private boolean isSilent(LeaderDirectory.Leader leader, long now) {
    return !leader.node().equals(parts.self()) && link(leader, now).isSilent(silenceNanos, now);
  }

  private LeaderLink link(LeaderDirectory.Leader leader, long now) {
    LeaderLink link = links.get(leader.node());
    if (link == null || !link.leader.equals(leader)) {
      link = new LeaderLink(leader, now);
      links.put(leader.node(), link);
    }
    return link;
  }

  private void onAnswered(ClientEvent.Answered event, long now) {
    PendingPlacement request = event.pending();
    request.leader.ifPresent(node -> heard(node, now));
    boolean waits = pending.contains(request) && request.leader.isPresent();
    if (event.answer() instanceof PlacementAnswer.Placed placed) {
      if (waits && request.pool().equals(event.pool())) {
        finish(request, placed);
      } else {
        giveBack(event, now);
      }
    } else if (waits && request.asks == event.ask()) {
      onNotPlaced(request, event.answer(), now);
    }
  }

  private void onNotPlaced(PendingPlacement request, PlacementAnswer answer, long now) {
    if (answer instanceof PlacementAnswer.Refused refused) {
      request.refusal = Optional.of(refused);
      askNext(request, now);
    } else if (hasOtherLeader(request)) {
      ask(request, now);
    } else {
      placeWithoutLeader(request, now);
    }
  }

  private boolean hasOtherLeader(PendingPlacement request) {
    Optional<NodeId> leader =
        parts.directory().leader(request.pool()).map(LeaderDirectory.Leader::node);
    return leader.isPresent() && !leader.equals(request.leader);
  }

  /** The answer came after the request had got another one: its place is free again. */
  private void giveBack(ClientEvent.Answered event, long now) {
    PendingPlacement request = event.pending();
    if (!event.answer().equals(request.answer.getNow(null))) {
      tellLeader(
          new PlacementProgress(
              event.pool(),
              request.request.requestId(),
              request.request.attempt(),
              Stage.ABANDONED,
              0),
          now);
    }
  }

  private void heard(NodeId node, long now) {
    LeaderLink link = links.get(node);
    if (link != null) {
      link.heard(now);
    }
  }

  private void onCallFailed(ClientEvent.CallFailed event, long now) {
    LOG.debug("placement: Leader {} could not be asked: {}.", event.leader(), event.reason());
    boolean waits = pending.contains(event.pending()) && event.pending().asks == event.ask();
    if (!waits) {
      return;
    }
    LeaderLink link = links.get(event.leader());
    if (link != null) {
      link.failed();
    }
    placeWithoutLeader(event.pending(), now);
  }

  /** Serving never waits for an election: places from what this node knows itself. */
  private void placeWithoutLeader(PendingPlacement request, long now) {
    request.asks++;
    request.leader = Optional.empty();
    PoolId pool = request.pool();
    List<EngineListing> engines = listing(pool);
    if (!fallback.isReady(pool, engines, now)) {
      return;
    }
    Optional<PlacementAnswer.Placed> placed = fallback.place(pool, request.request, engines);
    if (placed.isPresent()) {
      withoutLeader.increment();
      finish(request, placed.get());
    } else {
      askNext(request, now);
    }
  }

  private void onReported(PlacementProgress progress, long now) {
    boolean ended = progress.stage() != Stage.PREFILLED;
    if (ended && fallback.finished(progress.requestId())) {
      return;
    }
    tellLeader(progress, now);
  }

  private void tellLeader(PlacementProgress progress, long now) {
    Optional<LeaderDirectory.Leader> leader = parts.directory().leader(progress.pool());
    if (leader.isEmpty()) {
      return;
    }
    if (leader.get().node().equals(parts.self())) {
      parts.local().progress(new ProgressBatch(List.of(progress), List.of()));
    } else {
      link(leader.get(), now).add(progress);
    }
  }

  private void onBatchAnswered(ClientEvent.BatchAnswered event, long now) {
    LeaderLink link = links.get(event.leader());
    if (link != null) {
      link.batchEnded();
      link.heard(now);
    }
    for (PendingPlacement request : waitingFor(event.leader())) {
      PoolId pool = request.pool();
      if (event.asked().contains(pool) && !event.led().contains(pool)) {
        placeWithoutLeader(request, now);
      }
    }
  }

  private void onBatchFailed(NodeId leader, long now) {
    LeaderLink link = links.get(leader);
    if (link != null) {
      link.batchEnded();
      link.failed();
    }
    waitingFor(leader).forEach(request -> placeWithoutLeader(request, now));
  }

  private List<PendingPlacement> waitingFor(NodeId leader) {
    List<PendingPlacement> waiting = new ArrayList<>();
    for (PendingPlacement request : pending) {
      if (request.leader.filter(leader::equals).isPresent()) {
        waiting.add(request);
      }
    }
    return waiting;
  }

  @Override
  public void onTick() {
    long now = System.nanoTime();
    for (PendingPlacement request : new ArrayList<>(pending)) {
      if (now >= request.deadlineNanos) {
        refuse(request, ErrorKind.DEADLINE_UNREACHABLE, "the deadline has passed", RETRY_MILLIS);
      } else if (request.leader.isEmpty()) {
        placeWithoutLeader(request, now);
      } else if (now - request.askedNanos >= HOLD_NANOS) {
        ask(request, now);
      }
    }
    links.values().forEach(link -> tend(link, now));
    links.values().removeIf(link -> isForgotten(link, now));
  }

  private void tend(LeaderLink link, long now) {
    NodeId leader = link.leader.node();
    List<PendingPlacement> waiting = waitingFor(leader);
    if (link.isSilent(silenceNanos, now)) {
      waiting.forEach(request -> placeWithoutLeader(request, now));
    }
    if (link.isBatchDue(!waiting.isEmpty(), silenceNanos / QUIET_FRACTION, now)) {
      sendBatch(link, waiting, now);
    }
  }

  private void sendBatch(LeaderLink link, List<PendingPlacement> waiting, long now) {
    NodeId leader = link.leader.node();
    List<PoolId> asked = waiting.stream().map(request -> request.pool()).distinct().toList();
    ProgressBatch batch = new ProgressBatch(link.takeBatch(now), asked);
    parts
        .client()
        .post(
            link.leader.address(),
            PlacementModule.PROGRESS_PATH,
            batch,
            ProgressAnswer.class,
            Duration.ofNanos(SILENCE_FACTOR * silenceNanos))
        .whenComplete(
            (answer, failure) ->
                events.accept(
                    failure == null
                        ? new ClientEvent.BatchAnswered(leader, asked, answer.led())
                        : new ClientEvent.BatchFailed(leader, failure.getMessage())));
  }

  private boolean isForgotten(LeaderLink link, long now) {
    return link.isIdle() && now - link.lastHeardNanos() > FORGET_NANOS;
  }

  private void refuse(PendingPlacement request, ErrorKind kind, String message, long retryMillis) {
    finish(request, new PlacementAnswer.Refused(kind, message, retryMillis));
  }

  private void finish(PendingPlacement request, PlacementAnswer answer) {
    pending.remove(request);
    request.answer.complete(answer);
  }

  private PoolMap pools() {
    MachineList machines = parts.machines().get();
    if (machines != mappedMachines) {
      mappedMachines = machines;
      pools =
          PoolMap.of(
              machines,
              parts.parameters().maxMergedEngines(),
              parts.parameters().maxEnginesPerPool());
    }
    return pools;
  }

  private List<EngineListing> listing(PoolId pool) {
    return pools().listing(pool, parts.configuration().get()::isDrained);
  }
}
