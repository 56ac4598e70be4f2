package org.fallturn.rehearsal.simulator;

import java.util.Map;
import java.util.NavigableMap;
import org.fallturn.core.domain.Urgency;

/**
 * What came of one run.
 *
 * @param byUrgency counts of each urgency that occurred
 * @param roleChanges role changes ordered
 * @param events events simulated
 * @param crashes engine crashes
 * @param timeline counts over time
 * @param plan prefill engines wanted from each time on, as the role policy decided; of the first
 *     pool
 */
public record SimulationResult(
    Map<Urgency, OutcomeCounts> byUrgency,
    int roleChanges,
    long events,
    int crashes,
    Timeline timeline,
    NavigableMap<Long, Integer> plan) {

  /** Counts over all urgencies. */
  public OutcomeCounts total() {
    return byUrgency.values().stream().reduce(OutcomeCounts.NONE, OutcomeCounts::plus);
  }

  /** Counts of the urgencies at which somebody waits: HIGH and EMERGENCY. */
  public OutcomeCounts urgent() {
    return byUrgency
        .getOrDefault(Urgency.HIGH, OutcomeCounts.NONE)
        .plus(byUrgency.getOrDefault(Urgency.EMERGENCY, OutcomeCounts.NONE));
  }

  /** Share of all requests answered completely within their deadline, 0 to 1. */
  public double goodput() {
    return total().inTimeShare();
  }
}
