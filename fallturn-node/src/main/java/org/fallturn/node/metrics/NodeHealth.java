package org.fallturn.node.metrics;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Readiness of this node to accept callers. The node is ready while every declared condition is met
 * and no planned stop has begun; a stop cannot be undone. Thread-safe.
 */
public final class NodeHealth {

  private final Map<String, Boolean> conditions = new LinkedHashMap<>();
  private final Map<String, BooleanSupplier> checks = new LinkedHashMap<>();
  private boolean stopping;

  /**
   * Declares a condition that is not met yet; {@link #set} changes it.
   *
   * @param condition its name, as {@code /readyz} shows it
   */
  public synchronized void require(String condition) {
    conditions.putIfAbsent(condition, false);
  }

  /**
   * Declares a condition that is evaluated at each query of the readiness.
   *
   * @param condition its name, as {@code /readyz} shows it
   * @param met whether the condition is met
   */
  public synchronized void require(String condition, BooleanSupplier met) {
    checks.put(condition, met);
  }

  /** Records whether a condition is met from now on. */
  public synchronized void set(String condition, boolean met) {
    conditions.put(condition, met);
  }

  /** Records that a planned stop has begun. */
  public synchronized void stop() {
    stopping = true;
  }

  /** Returns the reasons why the node is not ready; empty when it is ready. */
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
