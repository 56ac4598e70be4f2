package org.fallturn.node.metrics;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Whether this node should get callers. It is ready once every condition that was declared has been
 * met and no stop has begun; a stop cannot be undone. Thread-safe.
 */
public final class NodeHealth {

  private final Map<String, Boolean> conditions = new LinkedHashMap<>();
  private final Map<String, BooleanSupplier> checks = new LinkedHashMap<>();
  private boolean stopping;

  /** Declares a condition that is not met yet. */
  public synchronized void require(String condition) {
    conditions.putIfAbsent(condition, false);
  }

  /** Declares a condition that is looked up whenever the health is asked for. */
  public synchronized void require(String condition, BooleanSupplier met) {
    checks.put(condition, met);
  }

  /** Notes that a condition is met from now on, or no longer. */
  public synchronized void set(String condition, boolean met) {
    conditions.put(condition, met);
  }

  /** A planned stop has begun. */
  public synchronized void stop() {
    stopping = true;
  }

  /** What stands in the way of callers; empty when the node is ready. */
  public synchronized List<String> notReadyReasons() {
    List<String> notReadyReasons = new ArrayList<>();
    if (stopping) {
      notReadyReasons.add("stopping");
    }
    conditions.forEach(
        (condition, met) -> {
          if (!met) {
            notReadyReasons.add(condition);
          }
        });
    checks.forEach(
        (condition, met) -> {
          if (!met.getAsBoolean()) {
            notReadyReasons.add(condition);
          }
        });
    return notReadyReasons;
  }
}
