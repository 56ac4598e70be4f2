package org.fallturn.rehearsal.simulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.placement.PlacementPolicy;
import org.fallturn.core.roles.RolePolicy;
import org.fallturn.rehearsal.engine.EngineCostModel;
import org.fallturn.rehearsal.engine.EngineCosts;
import org.fallturn.rehearsal.workload.ArrivalGenerator;
import org.fallturn.rehearsal.workload.Deployment;
import org.fallturn.rehearsal.workload.MixShift;
import org.fallturn.rehearsal.workload.TimedRequest;
import org.fallturn.rehearsal.workload.Workload;

/**
 * One run of a workload on a simulated fleet. Equal arguments give equal results. Not thread-safe;
 * separate runs may run on separate threads.
 */
public final class Simulation {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final double SECONDS_PER_HOUR = 3600;
  private static final long FLEET_STREAM = 0x632be59bd9b4e019L;

  private final EventQueue events = new EventQueue();
  private final Workload workload;
  private final SimulationSettings settings;
  private final UniformRandomProvider random;
  private final ArrivalGenerator arrivals;
  private final OutcomeRecorder recorder;
  private final Map<ModelName, SimulatedPool> pools = new LinkedHashMap<>();
  private int crashes;

  /**
   * Sets a run up.
   *
   * @param initialPrefill prefill engines of a pool at the start, by its number of engines
   * @param placements the scheduler of each pool
   * @param rolePolicies the role policy of each pool
   */
  public Simulation(
      Workload workload,
      MixShift shift,
      long seed,
      SimulationSettings settings,
      IntFunction<Integer> initialPrefill,
      Function<PoolId, PlacementPolicy> placements,
      Function<PoolId, RolePolicy> rolePolicies) {
    this.workload = workload;
    this.settings = settings;
    random = RandomSource.XO_SHI_RO_256_PP.create(seed ^ FLEET_STREAM);
    recorder = new OutcomeRecorder(new Timeline(workload.durationSeconds()));
    arrivals = new ArrivalGenerator(workload, shift, seed, this::prefillShare);
    for (int index = 0; index < workload.deployment().models().size(); index++) {
      addPool(index, initialPrefill, placements, rolePolicies);
    }
  }

  private void addPool(
      int modelIndex,
      IntFunction<Integer> initialPrefill,
      Function<PoolId, PlacementPolicy> placements,
      Function<PoolId, RolePolicy> rolePolicies) {
    Deployment deployment = workload.deployment();
    ModelName model = deployment.models().get(modelIndex);
    PoolId pool = new PoolId(deployment.zones().get(0), model, 0);
    EngineCostModel costs = new EngineCostModel(EngineCosts.DEFAULT);
    SimulationContext context =
        new SimulationContext(events, workload, settings, costs, random, pool, recorder);
    PoolPolicyRecord record =
        new PoolPolicyRecord(
            model,
            deployment.roleChangeWeight(),
            deployment.minPrefill(),
            deployment.minDecode(),
            deployment.maxChanging(),
            "");
    pools.put(
        model,
        new SimulatedPool(
            context,
            placements.apply(pool),
            rolePolicies.apply(pool),
            record,
            engines(modelIndex, initialPrefill)));
  }

  private List<SimulatedEngine.Description> engines(
      int modelIndex, IntFunction<Integer> initialPrefill) {
    Deployment deployment = workload.deployment();
    int models = deployment.models().size();
    int count = deployment.engines() / models;
    count += modelIndex < deployment.engines() % models ? 1 : 0;
    int prefill = initialPrefill.apply(count);
    List<SimulatedEngine.Description> descriptions = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      ZoneName zone = deployment.zones().get(index % deployment.zones().size());
      EngineId id =
          new EngineId(String.format("%s-e%03d", deployment.models().get(modelIndex), index));
      EngineRole role = index < prefill ? EngineRole.PREFILL : EngineRole.DECODE;
      descriptions.add(new SimulatedEngine.Description(id, zone, role));
    }
    return descriptions;
  }

  /** Runs to the end. */
  public SimulationResult run() {
    every(settings.observationMillis(), () -> pools.values().forEach(SimulatedPool::decideRoles));
    every(settings.statePollMillis(), () -> pools.values().forEach(SimulatedPool::pollStates));
    every(settings.loadReportMillis(), () -> pools.values().forEach(SimulatedPool::reportLoads));
    every(Timeline.BIN_SECONDS * 1000L, this::recordRoles);
    scheduleCrashes();
    scheduleNextArrival();
    double end = workload.durationSeconds() + settings.drainSeconds() + longestDeadlineSeconds();
    events.runUntil((long) (end * NANOS_PER_SECOND));
    SimulatedPool first = pools.values().iterator().next();
    int roleChanges = pools.values().stream().mapToInt(SimulatedPool::roleChanges).sum();
    return new SimulationResult(
        recorder.byUrgency(),
        roleChanges,
        events.processed(),
        crashes,
        recorder.timeline(),
        first.plan());
  }

  private double longestDeadlineSeconds() {
    return workload.classes().stream()
            .mapToLong(traffic -> traffic.deadlineMillis())
            .max()
            .orElse(0)
        * NANOS_PER_MILLI
        / NANOS_PER_SECOND;
  }

  private void every(long millis, Runnable action) {
    events.after(
        millis * NANOS_PER_MILLI,
        () -> {
          if (events.nowNanos() < workload.durationSeconds() * NANOS_PER_SECOND) {
            action.run();
            every(millis, action);
          } else if (recorder.pending() > 0) {
            action.run();
            every(millis, action);
          }
        });
  }

  private void recordRoles() {
    int prefill = pools.values().stream().mapToInt(SimulatedPool::prefillEngines).sum();
    if (events.nowNanos() <= workload.durationSeconds() * NANOS_PER_SECOND) {
      recorder.timeline().prefillEngines(events.nowNanos() - 1, prefill);
    }
  }

  private double prefillShare() {
    int prefill = pools.values().stream().mapToInt(SimulatedPool::prefillEngines).sum();
    return (double) prefill / workload.deployment().engines();
  }

  private void scheduleNextArrival() {
    if (arrivals.hasNext()) {
      TimedRequest timed = arrivals.next();
      events.at(
          timed.arrivalNanos(),
          () -> {
            arrive(timed);
            scheduleNextArrival();
          });
    }
  }

  private void arrive(TimedRequest timed) {
    long clientNanos = workload.deployment().clientLatencyMicros() * NANOS_PER_MICRO;
    long hopNanos = workload.deployment().zoneLatencyMicros() * NANOS_PER_MICRO;
    long deadline =
        timed.arrivalNanos() + timed.traffic().deadlineMillis() * NANOS_PER_MILLI - clientNanos;
    SimulatedRequest request = new SimulatedRequest(timed, deadline);
    recorder.arrived();
    SimulatedPool pool = pools.get(timed.model());
    events.after(clientNanos + hopNanos, () -> pool.submit(request, Set.of()));
  }

  private void scheduleCrashes() {
    if (settings.crashesPerEngineHour() <= 0) {
      return;
    }
    for (SimulatedPool pool : pools.values()) {
      pool.engines().forEach(engine -> scheduleCrash(pool, engine));
    }
  }

  private void scheduleCrash(SimulatedPool pool, SimulatedEngine engine) {
    double meanSeconds = SECONDS_PER_HOUR / settings.crashesPerEngineHour();
    double wait = -Math.log(1 - random.nextDouble()) * meanSeconds;
    events.after(
        (long) (wait * NANOS_PER_SECOND),
        () -> {
          crashes++;
          pool.crash(engine, (long) (settings.restartSeconds() * NANOS_PER_SECOND));
          scheduleCrash(pool, engine);
        });
  }
}
