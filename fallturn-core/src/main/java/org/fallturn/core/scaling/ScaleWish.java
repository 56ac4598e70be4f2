package org.fallturn.core.scaling;

import java.util.Map;

/** What is to be done next for the number of engines of a service. */
public sealed interface ScaleWish {

  /** Have the present numbers fixed as those that the service had before any order. */
  record FixStanding(String service, Map<String, Integer> observed) implements ScaleWish {}

  /** Give an order. */
  record Give(ScaleOrder order) implements ScaleWish {}
}
