package org.fallturn.core.scaling;

import java.util.Map;

/** Next action to change the number of engines of a service. */
public sealed interface ScaleAction {

  /** Records the current counts as those that the service had before any order. */
  record RecordInitialCounts(String service, Map<String, Integer> observed)
      implements ScaleAction {}

  /** Sends an order to the platform. */
  record SendOrder(ScaleOrder order) implements ScaleAction {}
}
