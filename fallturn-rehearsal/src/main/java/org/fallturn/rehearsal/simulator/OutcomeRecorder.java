package org.fallturn.rehearsal.simulator;

import java.util.EnumMap;
import java.util.Map;
import org.fallturn.core.domain.Urgency;

/** Counts how requests ended. Not thread-safe. */
final class OutcomeRecorder {
  private final Map<Urgency, OutcomeCounts> byUrgency = new EnumMap<>(Urgency.class);
  private final Timeline timeline;
  private long pending;

  OutcomeRecorder(Timeline timeline) {
    this.timeline = timeline;
  }

  void arrived() {
    pending++;
  }

  /** Requests that have not ended yet. */
  long pending() {
    return pending;
  }

  void record(SimulatedRequest request, SimulatedPool.Outcome outcome) {
    pending--;
    OutcomeCounts one =
        switch (outcome) {
          case IN_TIME -> new OutcomeCounts(1, 1, 0, 0);
          case REFUSED -> new OutcomeCounts(1, 0, 1, 0);
          case LATE -> new OutcomeCounts(1, 0, 0, 1);
        };
    byUrgency.merge(request.timed.traffic().urgency(), one, OutcomeCounts::plus);
    timeline.offered(request.timed.arrivalNanos(), outcome == SimulatedPool.Outcome.IN_TIME);
  }

  Map<Urgency, OutcomeCounts> byUrgency() {
    return byUrgency;
  }

  Timeline timeline() {
    return timeline;
  }
}
