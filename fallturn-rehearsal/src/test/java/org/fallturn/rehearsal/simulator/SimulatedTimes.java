package org.fallturn.rehearsal.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.PoolId;
import org.fallturn.rehearsal.engine.EngineCostModel;
import org.fallturn.rehearsal.engine.EngineCosts;
import org.fallturn.rehearsal.workload.TimedRequest;
import org.fallturn.rehearsal.workload.Workload;

/** Plays requests on one simulated engine that computes prompts and answers itself. */
public final class SimulatedTimes implements EngineListener {
  private final EventQueue events = new EventQueue();
  private final Map<Long, Long> completedAt = new HashMap<>();

  private SimulatedTimes() {}

  /** When each request was complete, in the order of the requests. */
  public static List<Long> complete(Workload workload, List<TimedRequest> requests) {
    SimulatedTimes times = new SimulatedTimes();
    SimulationContext context =
        new SimulationContext(
            times.events,
            workload,
            SimulationSettings.DEFAULT,
            new EngineCostModel(EngineCosts.DEFAULT),
            RandomSource.XO_SHI_RO_256_PP.create(1),
            PoolId.parse("z/m/0"),
            new OutcomeRecorder(new Timeline(1)));
    var description =
        new SimulatedEngine.Description(
            new EngineId("e"), workload.deployment().zones().get(0), EngineRole.DECODE);
    SimulatedEngine engine = new SimulatedEngine(description, context, times);
    for (TimedRequest timed : requests) {
      SimulatedRequest request = new SimulatedRequest(timed, Long.MAX_VALUE);
      request.decode = engine;
      times.events.at(timed.arrivalNanos(), () -> engine.prefill(request));
    }
    times.events.runUntil(Long.MAX_VALUE);
    List<Long> inOrder = new ArrayList<>();
    requests.forEach(timed -> inOrder.add(times.completedAt.get(timed.index())));
    return inOrder;
  }

  @Override
  public void onPrefilled(SimulatedEngine engine, SimulatedRequest request) {
    throw new IllegalStateException("this engine decodes what it prefilled");
  }

  @Override
  public void onCompleted(SimulatedEngine engine, SimulatedRequest request) {
    completedAt.put(request.timed.index(), events.nowNanos());
  }

  @Override
  public void onCacheChange(SimulatedEngine engine, SharedPrefix prefix, boolean stored) {
    if (stored) {
      engine.forgetCache();
    }
  }
}
