package org.fallturn.core.roles;

/**
 * Predicts which share of a pool's requests is in time when so many of its engines prefill and so
 * many decode. A request needs both, so the scarcer role decides. Pure.
 */
final class SplitValue {
  private final Demand demand;
  private final double fullServiceHeadroom;

  SplitValue(Demand demand, double fullServiceHeadroom) {
    this.demand = demand;
    this.fullServiceHeadroom = fullServiceHeadroom;
  }

  /** Share of requests in time, 0 to 1. */
  double inTimeShare(double prefillEngines, double decodeEngines) {
    return Math.min(
        served(prefillEngines, demand.prefillEngines()),
        served(decodeEngines, demand.decodeEngines()));
  }

  /**
   * Up to a capacity that equals demand the served share grows with it; the last tenths of a
   * queue's requests come into time only as capacity passes demand.
   */
  private double served(double capacity, double need) {
    if (need <= 0) {
      return 1;
    }
    double ratio = capacity / need;
    if (ratio >= fullServiceHeadroom) {
      return 1;
    }
    double knee = 2 - fullServiceHeadroom;
    if (ratio <= knee) {
      return ratio;
    }
    double missing = fullServiceHeadroom - ratio;
    return 1 - missing * missing / (4 * (fullServiceHeadroom - 1));
  }
}
