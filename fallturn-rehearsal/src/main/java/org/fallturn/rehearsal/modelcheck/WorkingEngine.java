package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.Map;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderNumber;

/** An engine that counts its work; a change while it works would cut a request. */
final class WorkingEngine {

  private static final Duration CHANGE = Duration.ofSeconds(2);
  private static final long NOT_LEAVING = -1;

  private final Simulation simulation;
  private final EngineId id;
  private EngineRole role;
  private boolean changing;
  private int running;
  private long orders;
  private long leftNanos = NOT_LEAVING;

  WorkingEngine(Simulation simulation, EngineId id, EngineRole role) {
    this.simulation = simulation;
    this.id = id;
    this.role = role;
  }

  EngineId id() {
    return id;
  }

  EngineRole role() {
    return role;
  }

  void begin() {
    running++;
  }

  void end() {
    running--;
  }

  void leave() {
    if (leftNanos == NOT_LEAVING) {
      simulation.trace(() -> id + " is leaving");
      leftNanos = simulation.now();
    }
  }

  /** Whether it began to leave at least so long ago. */
  boolean hasLeftFor(long nanos) {
    return leftNanos != NOT_LEAVING && simulation.now() - leftNanos >= nanos;
  }

  void changeRole(EngineRole wanted) {
    int left = running;
    simulation.trace(() -> id + " is ordered to become " + wanted + " with " + left + " running");
    if (running > 0) {
      throw new InvariantViolatedException(
          Invariant.PLANNED_CHANGE_CUTS_NOTHING,
          id + " was ordered to change while it worked on " + running + " requests");
    }
    role = wanted;
    changing = true;
    orders++;
    simulation.after(CHANGE.toNanos(), () -> changing = false);
  }

  EngineState state() {
    return new EngineState(
        id,
        1,
        new OrderNumber(new Epoch(1), orders),
        role,
        new ModelName("model"),
        "1",
        Map.of(),
        changing ? EngineState.Activity.CHANGING_ROLE : EngineState.Activity.SERVING,
        false,
        running);
  }
}
