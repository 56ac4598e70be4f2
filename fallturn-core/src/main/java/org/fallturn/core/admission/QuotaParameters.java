package org.fallturn.core.admission;

import java.time.Duration;

/**
 * Times and fractions of the fleet-wide limits. All nodes must use the same.
 *
 * @param shareDuration how long a share holds without renewal
 * @param shareInterval how often a node renews its shares
 * @param localFraction part of each limit that is divided among all nodes for good, so that a node
 *     without a share still admits some
 * @param burst a bucket holds what its rate gives in this time
 */
public record QuotaParameters(
    Duration shareDuration, Duration shareInterval, double localFraction, Duration burst) {

  private static final double DEFAULT_LOCAL_FRACTION = 0.1;

  /** Parameters with the default local fraction and a burst of two seconds. */
  public static QuotaParameters of(Duration shareDuration, Duration shareInterval) {
    return new QuotaParameters(
        shareDuration, shareInterval, DEFAULT_LOCAL_FRACTION, Duration.ofSeconds(2));
  }

  /** The part of a limit that one of so many nodes has for good; none when nodes are unknown. */
  public QuotaAmounts localShare(QuotaAmounts limit, int nodes) {
    return nodes == 0 ? QuotaAmounts.NONE : limit.fraction(localFraction / nodes);
  }

  /** The part of a limit that the owner gives out. */
  public QuotaAmounts pool(QuotaAmounts limit) {
    return new QuotaAmounts(
        limit.requests() * (1 - localFraction),
        limit.tokens() * (1 - localFraction),
        limit.concurrent() - Math.floor(limit.concurrent() * localFraction),
        limit.queued() - Math.floor(limit.queued() * localFraction));
  }
}
