package org.fallturn.rehearsal.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.placement.EngineListing;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementDecision;
import org.fallturn.core.placement.PlacementPolicy;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PlacementProgress.Stage;
import org.fallturn.core.placement.PoolScheduler;
import org.fallturn.core.port.engine.EngineState.Activity;
import org.fallturn.core.roles.PoolObservation;
import org.fallturn.core.roles.RoleChange;
import org.fallturn.core.roles.RolePolicy;

/**
 * One pool of a simulated fleet: its leader with the real scheduler and role policy, its engines,
 * and the nodes that carry requests between callers, leader and engines. Not thread-safe.
 */
final class SimulatedPool implements EngineListener {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final SimulationContext context;
  private final PlacementPolicy placement;
  private final Optional<PoolScheduler> scheduler;
  private final RolePolicy rolePolicy;
  private final PoolPolicyRecord policyRecord;
  private final Map<EngineId, SimulatedEngine> engines = new LinkedHashMap<>();
  private final Map<EngineId, EngineRole> draining = new LinkedHashMap<>();
  private final Map<String, SimulatedRequest> requests = new HashMap<>();
  private final Map<EngineId, CacheEventLog> cacheLogs = new HashMap<>();
  private final NavigableMap<Long, Integer> plan = new TreeMap<>();
  private int roleChanges;
  private int wantedPrefill;
  private long wakeNanos = Long.MAX_VALUE;

  SimulatedPool(
      SimulationContext context,
      PlacementPolicy placement,
      RolePolicy rolePolicy,
      PoolPolicyRecord policyRecord,
      List<SimulatedEngine.Description> descriptions) {
    this.context = context;
    this.placement = placement;
    this.rolePolicy = rolePolicy;
    this.policyRecord = policyRecord;
    scheduler = placement instanceof PoolScheduler pool ? Optional.of(pool) : Optional.empty();
    List<EngineListing> listing = new ArrayList<>();
    for (SimulatedEngine.Description description : descriptions) {
      EngineId id = description.engine();
      engines.put(id, new SimulatedEngine(description, context, this));
      cacheLogs.put(id, new CacheEventLog());
      listing.add(listing(id, description.zone()));
      wantedPrefill += description.role() == EngineRole.PREFILL ? 1 : 0;
    }
    placement.onListing(listing, 0);
    plan.put(0L, wantedPrefill);
    engines.values().forEach(this::tellState);
  }

  private static EngineListing listing(EngineId engine, ZoneName zone) {
    return new EngineListing(engine, zone, new NetworkAddress(engine.value(), 1), false, false);
  }

  List<SimulatedEngine> engines() {
    return List.copyOf(engines.values());
  }

  int roleChanges() {
    return roleChanges;
  }

  NavigableMap<Long, Integer> plan() {
    return plan;
  }

  int prefillEngines() {
    return (int) engines.values().stream().filter(e -> e.role == EngineRole.PREFILL).count();
  }

  /** A node asks the leader for a placement. */
  void submit(SimulatedRequest request, Set<EngineId> excluded) {
    long now = context.events().nowNanos();
    long left = (request.deadlineNanos - now) / NANOS_PER_MILLI;
    if (left <= 0 || request.ended) {
      end(request, Outcome.LATE);
      return;
    }
    requests.put(request.id.value(), request);
    placement.submit(context.placementRequest(request, left, excluded), now);
    actOnDecisions();
  }

  private void actOnDecisions() {
    for (PlacementDecision decision : placement.takeDecisions()) {
      SimulatedRequest request = requests.get(decision.requestId().value());
      if (request != null && request.attempt == decision.attempt()) {
        act(request, decision.answer());
      }
    }
    scheduleWake();
  }

  private void act(SimulatedRequest request, PlacementAnswer answer) {
    if (answer instanceof PlacementAnswer.Placed placed) {
      int attempt = request.attempt;
      context.events().after(context.hopNanos(), () -> start(request, attempt, placed));
    } else {
      end(request, request.attempt > 0 ? Outcome.LATE : Outcome.REFUSED);
    }
  }

  private void scheduleWake() {
    Optional<Long> next = scheduler.flatMap(PoolScheduler::nextWakeNanos);
    if (next.isPresent() && next.get() < wakeNanos) {
      wakeNanos = next.get();
      context.events().at(wakeNanos, this::wake);
    }
  }

  private void wake() {
    wakeNanos = Long.MAX_VALUE;
    placement.advance(context.events().nowNanos() + 1);
    actOnDecisions();
  }

  private void start(SimulatedRequest request, int attempt, PlacementAnswer.Placed placed) {
    if (request.ended || request.attempt != attempt) {
      return;
    }
    request.decode = engines.get(placed.decode().engine());
    request.prefill = placed.prefill().map(target -> engines.get(target.engine())).orElse(null);
    context.events().at(request.deadlineNanos, () -> abandon(request));
    SimulatedEngine first = request.prefill == null ? request.decode : request.prefill;
    if (isRefusedBy(first, first == request.decode ? EngineRole.DECODE : EngineRole.PREFILL)) {
      Stage stage = first == request.decode ? Stage.DECODE_FAILED : Stage.PREFILL_FAILED;
      placeAgain(request, stage, first);
    } else {
      first.prefill(request);
    }
  }

  private static boolean isRefusedBy(SimulatedEngine engine, EngineRole role) {
    return !engine.serves() || engine.role != role;
  }

  @Override
  public void onPrefilled(SimulatedEngine engine, SimulatedRequest request) {
    request.prefill = null;
    int attempt = request.attempt;
    report(request, attempt, Stage.PREFILLED);
    long kvBytes = context.costs().kvBytes(request.contextTokens());
    long delay = 2 * context.hopNanos() + context.costs().kvTransferNanos(kvBytes);
    context
        .events()
        .after(
            delay,
            () -> {
              if (!request.ended && request.attempt == attempt) {
                generate(request);
              }
            });
  }

  private void generate(SimulatedRequest request) {
    if (isRefusedBy(request.decode, EngineRole.DECODE)) {
      placeAgain(request, Stage.DECODE_FAILED, request.decode);
    } else {
      request.decode.generate(request);
    }
  }

  @Override
  public void onCompleted(SimulatedEngine engine, SimulatedRequest request) {
    if (!request.ended) {
      request.generatedTokens = request.timed.outputTokens();
      report(request, request.attempt, Stage.COMPLETED);
      end(request, Outcome.IN_TIME);
    }
  }

  private void abandon(SimulatedRequest request) {
    if (request.ended) {
      return;
    }
    if (request.prefill != null) {
      request.prefill.cancel(request);
    }
    if (request.decode != null) {
      request.decode.cancel(request);
    }
    report(request, request.attempt, Stage.ABANDONED);
    end(request, Outcome.LATE);
  }

  private void placeAgain(SimulatedRequest request, Stage stage, SimulatedEngine failed) {
    report(request, request.attempt, stage);
    request.attempt++;
    request.prefill = null;
    request.decode = null;
    context.events().after(2 * context.hopNanos(), () -> submit(request, Set.of(failed.id)));
  }

  private void report(SimulatedRequest request, int attempt, Stage stage) {
    PlacementProgress progress =
        new PlacementProgress(
            context.poolId(), request.id, attempt, stage, request.generatedTokens);
    context
        .events()
        .after(
            2 * context.hopNanos(),
            () -> {
              placement.onProgress(progress, context.events().nowNanos());
              actOnDecisions();
            });
  }

  private void end(SimulatedRequest request, Outcome outcome) {
    if (!request.ended) {
      request.ended = true;
      requests.remove(request.id.value());
      context.record(request, outcome);
    }
  }

  /** The role policy looks at the pool. */
  void decideRoles() {
    if (scheduler.isEmpty()) {
      return;
    }
    long now = context.events().nowNanos();
    PoolObservation observation = scheduler.get().observe(now);
    if (context.isStoreDown()) {
      return;
    }
    for (RoleChange change : rolePolicy.decide(observation, policyRecord)) {
      draining.put(change.engine(), change.role());
      scheduler.get().beginDrain(change.engine(), change.role());
      wantedPrefill += change.role() == EngineRole.PREFILL ? 1 : -1;
      plan.put(now, wantedPrefill);
    }
    actOnDecisions();
  }

  /** The leader reads the engines' states and orders the changes of those that are idle. */
  void pollStates() {
    engines.values().stream().filter(engine -> engine.reachable).forEach(this::tellState);
    for (EngineId id : List.copyOf(draining.keySet())) {
      SimulatedEngine engine = engines.get(id);
      boolean idle = scheduler.orElseThrow().isIdle(id, context.events().nowNanos());
      if (idle && engine.serves()) {
        orderChange(engine, draining.remove(id));
      }
    }
    placement.advance(context.events().nowNanos());
    actOnDecisions();
  }

  private void orderChange(SimulatedEngine engine, EngineRole role) {
    roleChanges++;
    engine.role = role;
    engine.activity = Activity.CHANGING_ROLE;
    engine.forgetCache();
    tellState(engine);
    scheduler.orElseThrow().endDrain(engine.id);
    long incarnation = engine.incarnation;
    context
        .events()
        .after(
            context.drawRoleChangeNanos(),
            () -> {
              if (engine.incarnation == incarnation) {
                engine.activity = Activity.SERVING;
              }
            });
  }

  private void tellState(SimulatedEngine engine) {
    placement.onEngineState(engine.state(context.poolId().model()), context.events().nowNanos());
  }

  /** Every engine makes a load report, which comes after the lag. */
  void reportLoads() {
    for (SimulatedEngine engine : engines.values()) {
      if (engine.reachable) {
        var report = engine.loadReport(context.settings().loadReportLagMillis());
        context
            .events()
            .after(
                context.settings().loadReportLagMillis() * NANOS_PER_MILLI,
                () -> placement.onLoadReport(report, context.events().nowNanos()));
      }
    }
  }

  @Override
  public void onCacheChange(SimulatedEngine engine, SharedPrefix prefix, boolean stored) {
    CacheEventLog log = cacheLogs.get(engine.id);
    var events = log.append(engine.incarnation, prefix, stored);
    if (context.drawIsCacheEventLost()) {
      return;
    }
    context
        .events()
        .after(
            context.settings().cacheEventLagMillis() * NANOS_PER_MILLI,
            () -> placement.onCacheEvents(engine.id, events, context.events().nowNanos()));
  }

  /** An engine dies and comes back later with nothing left. */
  void crash(SimulatedEngine engine, long awayNanos) {
    if (!engine.reachable) {
      return;
    }
    engine.reachable = false;
    draining.remove(engine.id);
    scheduler.ifPresent(pool -> pool.endDrain(engine.id));
    for (SimulatedRequest request : engine.crash()) {
      boolean decoded = request.decode == engine;
      placeAgain(request, decoded ? Stage.DECODE_FAILED : Stage.PREFILL_FAILED, engine);
    }
    placement.onEngineUnreachable(engine.id, context.events().nowNanos());
    context
        .events()
        .after(
            awayNanos,
            () -> {
              engine.activity = Activity.SERVING;
              engine.reachable = true;
            });
    actOnDecisions();
  }

  /** How a request ended. */
  enum Outcome {
    IN_TIME,
    REFUSED,
    LATE
  }
}
