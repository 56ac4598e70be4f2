package org.fallturn.core.following;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * How old what a node knows of a table may be. All follow from the time within which a change must
 * hold, so that a fleet with another bound needs no other settings.
 *
 * @param watchers nodes that watch the store at the same time
 * @param confirmNanos how often one of them tells that there is nothing newer
 * @param staggerNanos how much later each next node takes over when none of them tells so
 * @param trustNanos after which any node asks the store itself
 * @param longestWaitNanos how long a watch that has gone silent is trusted without other nodes
 */
public record FollowBounds(
    int watchers, long confirmNanos, long staggerNanos, long trustNanos, long longestWaitNanos) {

  /** A second one sees a change that the first, which the store may hold in silence, misses. */
  private static final int WATCHERS = 2;

  private static final int CONFIRMATIONS_A_BOUND = 3;
  private static final int MOST_SHIFTS = 4;
  private static final int STAGGERS_A_BOUND = 20;

  /** The rest of the bound is left for a lost datagram, the call and what follows from it. */
  private static final int TRUST_PERCENT = 60;

  /**
   * The bounds of a fleet.
   *
   * @param change within which a change must hold at every node
   * @param contact within which a node must be in touch again
   */
  public static FollowBounds of(Duration change, Duration contact) {
    long bound = Math.min(change.toNanos(), contact.toNanos());
    return new FollowBounds(
        WATCHERS,
        bound / CONFIRMATIONS_A_BOUND,
        bound / STAGGERS_A_BOUND,
        bound / 100 * TRUST_PERCENT,
        contact.toNanos());
  }

  /** The age of the last confirmation at which a node of a rank asks the store itself. */
  long takeOverNanos(WatchOrder order) {
    long confirm = confirmNanos(order);
    long staggered = confirm + (order.rank() + 1L) * staggerNanos;
    return Math.min(staggered, Math.max(trustNanos, confirm + staggerNanos));
  }

  /** Where all nodes watch, none waits for the confirmation of another. */
  long confirmNanos(WatchOrder order) {
    return order.nodes() <= watchers ? longestWaitNanos : confirmNanos;
  }

  /** Two nodes that confirm at the same moments would hide from each other. */
  long ownConfirmNanos(WatchOrder order) {
    return confirmNanos(order) + Math.min(order.rank(), MOST_SHIFTS) * staggerNanos / MOST_SHIFTS;
  }

  /** How long a watch is trusted that brings nothing while nobody confirms. */
  long silenceNanos(WatchOrder order) {
    return order.nodes() <= watchers ? longestWaitNanos : trustNanos;
  }

  /** Failing nodes probe the store in turn, so that the fleet's calls do not grow with it. */
  long probePauseNanos(WatchOrder order) {
    long spread = order.nodes() * TimeUnit.MILLISECONDS.toNanos(100);
    return Math.max(confirmNanos, Math.min(spread, longestWaitNanos));
  }
}
