package org.fallturn.core.scaling;

import java.util.Map;

/** Next action to change the number of engines of a service. */
public sealed interface ScaleAction {

  /**
   * Records how many engines a service had before any order.
   *
   * @param counts number of engines by zone
   * @param known whether the store has held these counts; otherwise they are the present ones
   */
  record RecordInitialCounts(String service, Map<String, Integer> counts, boolean known)
      implements ScaleAction {}

  /** Sends an order to the platform. */
  record SendOrder(ScaleOrder order) implements ScaleAction {}
}
