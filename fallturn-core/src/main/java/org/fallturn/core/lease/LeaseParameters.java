package org.fallturn.core.lease;

import java.time.Duration;

/**
 * Times and counts of the lease protocol.
 *
 * @param duration how long a lease holds after the renewal was sent, by the holder's clock; how
 *     long a challenger waits after it first saw the row's version, by its own clock
 * @param renewInterval how often the leases of a node are renewed, and witnesses are asked
 * @param safetyMargin subtracted by the holder and added by the challenger; together they must be
 *     more than two clocks drift apart within one duration
 * @param watchInterval how often a candidate reads the rows of pools whose holder is not healthy
 * @param calmWatchInterval the same while the holder is believed to be alive
 * @param backoffStep what a candidate of each lower rank waits longer before it tries
 * @param watchers candidates a pool that read its row
 * @param witnesses nodes a pool that may extend a lease while the table cannot be reached; odd
 * @param minWitnesses with fewer nodes than this to choose from there are no witnesses
 * @param outageLimit longest time that witnesses may extend a lease without a renewal in the table
 */
public record LeaseParameters(
    Duration duration,
    Duration renewInterval,
    Duration safetyMargin,
    Duration watchInterval,
    Duration calmWatchInterval,
    Duration backoffStep,
    int watchers,
    int witnesses,
    int minWitnesses,
    Duration outageLimit) {

  private static final int DEFAULT_WATCHERS = 3;
  private static final int DEFAULT_WITNESSES = 5;
  private static final int DEFAULT_MIN_WITNESSES = 3;
  private static final int OUTAGE_DRIFT_DIVISOR = 16;

  /** Rejects a renewal that would come too late. */
  public LeaseParameters {
    if (renewInterval.plus(safetyMargin).compareTo(duration) >= 0) {
      throw new IllegalArgumentException(
          "renewal interval plus safety margin must be below the lease duration");
    }
  }

  /** The usual ratios for a lease of a given duration. */
  public static LeaseParameters of(
      Duration duration, Duration renewInterval, Duration safetyMargin) {
    return new LeaseParameters(
        duration,
        renewInterval,
        safetyMargin,
        renewInterval.dividedBy(4),
        renewInterval,
        renewInterval.dividedBy(8),
        DEFAULT_WATCHERS,
        DEFAULT_WITNESSES,
        DEFAULT_MIN_WITNESSES,
        Duration.ofMinutes(75));
  }

  /** How long a holder may use a lease of the given duration after sending its renewal. */
  long usableNanos(Duration leaseDuration) {
    return leaseDuration.minus(safetyMargin).toNanos();
  }

  /** How long a challenger waits out a lease of the given duration. */
  long waitOutNanos(Duration leaseDuration) {
    return leaseDuration.plus(safetyMargin).toNanos();
  }

  /** After how long a challenger needs no consent any more. */
  long outageWaitOutNanos(Duration limit) {
    Duration driftReserve = limit.dividedBy(OUTAGE_DRIFT_DIVISOR);
    return limit.plus(duration).plus(driftReserve).plus(safetyMargin).toNanos();
  }
}
