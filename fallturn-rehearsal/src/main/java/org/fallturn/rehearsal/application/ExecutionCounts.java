package org.fallturn.rehearsal.application;

import java.util.Map;

/**
 * What the application did, {@code GET /control/counts}.
 *
 * @param executions all executions
 * @param perKey executions of each business key
 * @param refusedWhileLeaving requests that came although it was leaving
 */
public record ExecutionCounts(
    long executions, Map<String, Integer> perKey, long refusedWhileLeaving) {

  /** A private copy of the counts. */
  public ExecutionCounts {
    perKey = Map.copyOf(perKey);
  }

  /** Business keys that were executed more than once. */
  public long doubled() {
    return perKey.values().stream().filter(count -> count > 1).count();
  }
}
