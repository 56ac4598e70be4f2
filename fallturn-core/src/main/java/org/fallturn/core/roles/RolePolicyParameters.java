package org.fallturn.core.roles;

/**
 * How a {@link PredictiveRolePolicy} estimates and weighs. Immutable.
 *
 * @param arrivalMemorySeconds time constant of the demand estimate in a steady mix
 * @param shiftWindowSeconds time constant of the estimate that notices a shift
 * @param shiftDeviations standard deviations between both estimates that count as a shift
 * @param horizonSeconds how long a mix is expected to last; gains are summed over this time
 * @param changeSeconds expected time a change takes an engine away, drain included
 * @param urgentDrainSeconds time in which waiting requests above batch should be worked off
 * @param batchDrainSeconds time in which waiting batch requests should be worked off
 * @param rateMemorySeconds time constant of the measured engine time a token
 * @param utilizationMemorySeconds time constant of the engines' utilization
 * @param saturationGrowth how much more a saturated role is taken to need than it has, while the
 *     other role idles
 * @param reversalSeconds time for which a move is not undone unless arrivals shift
 * @param fullServiceHeadroom capacity over demand from which on all requests are in time
 * @param leastGainShare gain, as a share of the requests in the horizon, below which the pool is
 *     left alone whatever the price
 */
public record RolePolicyParameters(
    double arrivalMemorySeconds,
    double shiftWindowSeconds,
    double shiftDeviations,
    double horizonSeconds,
    double changeSeconds,
    double urgentDrainSeconds,
    double batchDrainSeconds,
    double rateMemorySeconds,
    double utilizationMemorySeconds,
    double saturationGrowth,
    double reversalSeconds,
    double fullServiceHeadroom,
    double leastGainShare) {
  /** Values that the experiments in the documentation led to. */
  public static final RolePolicyParameters DEFAULT =
      new RolePolicyParameters(20, 3, 3, 60, 14, 5, 90, 30, 6, 1.1, 60, 1, 0.08);

  /** Rejects times that are not positive. */
  public RolePolicyParameters {
    boolean positive =
        arrivalMemorySeconds > 0
            && shiftWindowSeconds > 0
            && horizonSeconds > 0
            && changeSeconds >= 0
            && urgentDrainSeconds > 0
            && batchDrainSeconds > 0
            && rateMemorySeconds > 0
            && utilizationMemorySeconds > 0;
    if (!positive || shiftDeviations < 0 || fullServiceHeadroom < 1 || leastGainShare < 0) {
      throw new IllegalArgumentException("role policy parameters out of range: " + this);
    }
  }
}
