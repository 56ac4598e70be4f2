package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.roles.EngineObservation;
import org.fallturn.core.roles.PoolObservation;
import org.fallturn.core.roles.UrgencyObservation;

/** Sums up a pool for its role policy and for other zones. */
final class PoolObserver {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PoolId pool;
  private final EngineTable engines;
  private final RequestQueue queue;
  private final CostModel costs;
  private DemandWindow window;

  PoolObserver(
      PoolId pool, EngineTable engines, RequestQueue queue, CostModel costs, long nowNanos) {
    this.pool = pool;
    this.engines = engines;
    this.queue = queue;
    this.costs = costs;
    this.window = new DemandWindow(nowNanos);
  }

  DemandWindow window() {
    return window;
  }

  PoolObservation observe(long nowNanos) {
    DemandWindow past = window;
    window = new DemandWindow(nowNanos);
    return new PoolObservation(
        pool,
        nowNanos,
        nowNanos - past.startNanos,
        past.arrivedRequests,
        past.arrivedPromptTokens,
        past.arrivedOutputTokens,
        past.placedPromptTokens,
        past.placedOutputTokens,
        past.refusedRequests,
        past.completedRequests,
        past.expiredRequests,
        observeQueues(nowNanos),
        engines.byName().stream().map(PoolObserver::observe).toList(),
        costs.rates());
  }

  private List<UrgencyObservation> observeQueues(long nowNanos) {
    List<UrgencyObservation> observations = new ArrayList<>();
    for (Urgency urgency : Urgency.values()) {
      FairQueue waiting = queue.queue(urgency);
      if (waiting.size() > 0) {
        observations.add(
            new UrgencyObservation(
                urgency,
                waiting.size(),
                waiting.promptTokens(),
                waiting.outputTokens(),
                slackMillis(urgency, nowNanos)));
      }
    }
    return observations;
  }

  private long slackMillis(Urgency urgency, long nowNanos) {
    return queue
        .earliestLatestStartNanos(urgency)
        .map(latest -> (latest - nowNanos) / NANOS_PER_MILLI)
        .orElse(Long.MAX_VALUE);
  }

  private static EngineObservation observe(EngineSlot slot) {
    EngineRole role =
        slot.drainingFor.or(() -> slot.state.map(EngineState::role)).orElse(EngineRole.DECODE);
    return new EngineObservation(
        slot.engine,
        role,
        availability(slot),
        slot.inFlight() + slot.unknownRequests,
        slot.prefillBacklog(),
        slot.decodeTokens);
  }

  private static EngineObservation.Availability availability(EngineSlot slot) {
    if (slot.isPlaceable()) {
      return EngineObservation.Availability.SERVING;
    }
    if (slot.leaving || slot.drained || !slot.reachable || slot.state.isEmpty()) {
      return EngineObservation.Availability.UNAVAILABLE;
    }
    EngineState state = slot.state.get();
    if (state.activity() == EngineState.Activity.CHANGING_ROLE) {
      return EngineObservation.Availability.CHANGING_ROLE;
    }
    boolean drains = slot.drainingFor.isPresent() && !state.leaving();
    return drains && state.activity() == EngineState.Activity.SERVING
        ? EngineObservation.Availability.DRAINING
        : EngineObservation.Availability.UNAVAILABLE;
  }

  PoolCapacity capacity(PlacementParameters parameters) {
    double seconds = parameters.maxPrefillBacklog().toNanos() / NANOS_PER_SECOND;
    double tokensAhead = seconds * costs.rates().prefillTokensPerSecond();
    double free = 0;
    for (EngineSlot slot : engines.all()) {
      if (slot.serves(EngineRole.PREFILL)) {
        free += Math.max(0, tokensAhead - slot.prefillBacklog());
      }
    }
    return new PoolCapacity(
        engines.prefillEngines(),
        engines.decodeEngines(),
        (long) free,
        engines.freeDecodeSlots(),
        queue.size());
  }
}
