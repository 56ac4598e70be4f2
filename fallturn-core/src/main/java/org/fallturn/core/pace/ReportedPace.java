package org.fallturn.core.pace;

import java.util.OptionalDouble;

/**
 * Pace that one engine reports about itself, with the trust that this node puts in it.
 *
 * <p>Trust starts at 1. It falls each time work takes much longer or shorter than reported, or this
 * node's own estimate proves clearly closer than the report, and recovers with each report that was
 * right. A report stays fresh for as long as the engine usually takes to send the next one. One
 * thread calls.
 */
final class ReportedPace {

  /** Share of the trust that remains after a wrong report. */
  private static final double TRUST_KEPT_WHEN_WRONG = 0.7;

  /** Share of the missing trust that a right report restores. */
  private static final double TRUST_REGAINED = 0.1;

  /** Margin by which the estimate must be closer than the report, since single times vary. */
  private static final double MARGIN = Math.log(1.5);

  private double log;
  private double trust = 1;
  private double meanIntervalNanos;
  private long lastNanos;
  private boolean reported;

  void update(double newLog, long atNanos) {
    if (reported && atNanos - lastNanos > 0) {
      double intervalNanos = atNanos - lastNanos;
      meanIntervalNanos =
          meanIntervalNanos == 0 ? intervalNanos : (meanIntervalNanos + intervalNanos) / 2;
    }
    reported = true;
    log = newLog;
    lastNanos = atNanos;
  }

  /**
   * Returns the reported pace as a natural logarithm; empty when the engine has not reported any.
   */
  OptionalDouble log() {
    return reported ? OptionalDouble.of(log) : OptionalDouble.empty();
  }

  /** Returns the weight of the report against the estimate, 0 to 1. */
  double weight(long nowNanos) {
    if (!reported) {
      return 0;
    }
    double age = nowNanos - lastNanos;
    double freshness = age <= freshNanos() ? 1 : freshNanos() / age;
    return trust * freshness * freshness;
  }

  private double freshNanos() {
    return Math.max(meanIntervalNanos, RecentPace.DECAY_NANOS);
  }

  /**
   * Updates the trust with the outcome of work.
   *
   * @param reportedLog pace reported when the work was sent
   * @param estimate this node's long-term estimate before this outcome is added
   * @param observed pace that was observed
   */
  void onOutcome(double reportedLog, double estimate, double observed) {
    boolean wrong = Math.abs(observed - reportedLog) > Math.abs(observed - estimate) + MARGIN;
    trust =
        wrong || Math.abs(observed - reportedLog) > 2 * MARGIN
            ? trust * TRUST_KEPT_WHEN_WRONG
            : trust + TRUST_REGAINED * (1 - trust);
  }
}
