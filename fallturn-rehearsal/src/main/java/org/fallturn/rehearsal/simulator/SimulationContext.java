package org.fallturn.rehearsal.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.rehearsal.engine.EngineCostModel;
import org.fallturn.rehearsal.workload.TimedRequest;
import org.fallturn.rehearsal.workload.TrafficClass;
import org.fallturn.rehearsal.workload.Workload;

/**
 * What the parts of one simulated pool share: clock, latencies, random numbers. Not thread-safe.
 */
final class SimulationContext {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final double TENANT_WEIGHT = 1;

  private final EventQueue events;
  private final Workload workload;
  private final SimulationSettings settings;
  private final EngineCostModel costs;
  private final UniformRandomProvider random;
  private final PoolId poolId;
  private final OutcomeRecorder recorder;
  private final Map<PrefixKey, SharedPrefix> prefixes = new HashMap<>();
  private final Map<TrafficClass, Integer> expectedOutput = new HashMap<>();

  SimulationContext(
      EventQueue events,
      Workload workload,
      SimulationSettings settings,
      EngineCostModel costs,
      UniformRandomProvider random,
      PoolId poolId,
      OutcomeRecorder recorder) {
    this.events = events;
    this.workload = workload;
    this.settings = settings;
    this.costs = costs;
    this.random = random;
    this.poolId = poolId;
    this.recorder = recorder;
  }

  EventQueue events() {
    return events;
  }

  SimulationSettings settings() {
    return settings;
  }

  EngineCostModel costs() {
    return costs;
  }

  PoolId poolId() {
    return poolId;
  }

  /** One way between two machines of the fleet. */
  long hopNanos() {
    return workload.deployment().zoneLatencyMicros() * NANOS_PER_MICRO;
  }

  long drawRoleChangeNanos() {
    return (long) (workload.deployment().roleChangeSeconds().draw(random) * NANOS_PER_SECOND);
  }

  boolean drawIsCacheEventLost() {
    return random.nextDouble() < settings.cacheEventLoss();
  }

  boolean isStoreDown() {
    double seconds = events.nowNanos() / NANOS_PER_SECOND;
    return settings.storeOutages().stream().anyMatch(outage -> outage.covers(seconds));
  }

  SharedPrefix prefix(SimulatedRequest request) {
    TimedRequest timed = request.timed;
    PrefixKey key =
        new PrefixKey(timed.tenant().value(), timed.traffic().service().value(), timed.prefix());
    return prefixes.computeIfAbsent(key, unknown -> SharedPrefix.of(timed));
  }

  PlacementRequest placementRequest(
      SimulatedRequest request, long deadlineMillis, Set<EngineId> excluded) {
    TimedRequest timed = request.timed;
    return new PlacementRequest(
        request.id,
        request.attempt,
        timed.tenant(),
        TENANT_WEIGHT,
        poolId.model(),
        "",
        timed.traffic().urgency(),
        request.contextTokens(),
        hashes(request),
        expectedOutput(timed.traffic()),
        deadlineMillis,
        excluded);
  }

  private List<Long> hashes(SimulatedRequest request) {
    SharedPrefix prefix = prefix(request);
    boolean whole = request.timed.promptTokens() >= prefix.cachedTokens();
    return whole ? prefix.hashes() : List.of();
  }

  /** Nodes know the mean answer of a service, not the length of the coming one. */
  private int expectedOutput(TrafficClass traffic) {
    return expectedOutput.computeIfAbsent(
        traffic, key -> (int) Math.max(1, Math.round(key.output().mean())));
  }

  void record(SimulatedRequest request, SimulatedPool.Outcome outcome) {
    recorder.record(request, outcome);
  }

  private record PrefixKey(String tenant, String service, int prefix) {}
}
