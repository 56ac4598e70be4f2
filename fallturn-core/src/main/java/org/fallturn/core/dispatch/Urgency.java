package org.fallturn.core.dispatch;

import org.fallturn.core.routing.Route;

/**
 * The order among the requests of one engine; 0 goes first. A route's priority decides, and within
 * it those first that can still be answered in time: one that cannot only makes others late when it
 * goes ahead of them.
 */
final class Urgency {

  /** How many values there are; engines know 0 to 9. */
  static final int LEVELS = 10;

  private static final int LEVELS_A_PRIORITY = 2;

  private Urgency() {}

  /** Of a request that can still be answered in time. */
  static int inTime(Route route) {
    return Math.min(LEVELS - 1, LEVELS_A_PRIORITY * route.priority());
  }

  /** Of a request that cannot. */
  static int late(Route route) {
    return Math.min(LEVELS - 1, LEVELS_A_PRIORITY * route.priority() + 1);
  }
}
