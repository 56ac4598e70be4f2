package org.fallturn.core.scaling;

import java.util.Map;

/** What is to be done next for the number of engines of a service. */
public sealed interface ScaleAction {

  /** Have the present numbers fixed as those that the service had before any order. */
  record RecordInitialCounts(String service, Map<String, Integer> observed)
      implements ScaleAction {}

  /** SendOrder an order. */
  record SendOrder(ScaleOrder order) implements ScaleAction {}
}
