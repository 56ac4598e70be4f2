package org.fallturn.core.following;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The limits on how stale a node's copy of a table may get before it calls the store, and on how
 * often nodes call. All derive from the time within which a change must take effect, so that a
 * fleet with another such time needs no other settings.
 *
 * @param watchers number of nodes that watch the store at the same time
 * @param confirmNanos interval at which a watching node announces that there is nothing newer
 * @param staggerNanos how much later each next node in the order takes over the watch when such
 *     confirmations fail to come
 * @param trustNanos age of the last confirmation at which any node asks the store itself
 * @param longestWaitNanos how long a watch that brings nothing is trusted when there are no other
 *     nodes to confirm
 */
public record FollowBounds(
    int watchers, long confirmNanos, long staggerNanos, long trustNanos, long longestWaitNanos) {

  /** Two, since the store may hold the watch of one without telling it of a change. */
  private static final int WATCHERS = 2;

  private static final int CONFIRMATIONS_PER_BOUND = 3;
  private static final int MAX_SHIFTS = 4;
  private static final int STAGGERS_PER_BOUND = 20;

  /** Bounds on the pause between two readings by which a node confirms its copy on request. */
  private static final long MIN_CONFIRMATION_PAUSE_MILLIS = 50;

  private static final long MAX_CONFIRMATION_PAUSE_MILLIS = 200;

  /** The rest of the time is left for a lost datagram, the call to the store and its effects. */
  private static final int TRUST_PERCENT = 60;

  /**
   * Returns the bounds of a fleet.
   *
   * @param change time within which a change must take effect at every node
   * @param contact time within which a node must be in contact with the store again after a fault
   */
  public static FollowBounds of(Duration change, Duration contact) {
    long bound = Math.min(change.toNanos(), contact.toNanos());
    return new FollowBounds(
        WATCHERS,
        bound / CONFIRMATIONS_PER_BOUND,
        bound / STAGGERS_PER_BOUND,
        bound / 100 * TRUST_PERCENT,
        contact.toNanos());
  }

  /**
   * Returns the age of the last confirmation at which a node asks the store itself. It grows with
   * the node's rank up to a limit.
   */
  long takeOverNanos(WatchOrder order) {
    long confirm = confirmNanos(order);
    long staggered = confirm + (order.rank() + 1L) * staggerNanos;
    return Math.min(staggered, Math.max(trustNanos, confirm + staggerNanos));
  }

  /**
   * Returns how often the watching nodes confirm. Where all nodes watch, none waits for the
   * confirmation of another, and the longest interval will do.
   */
  long confirmNanos(WatchOrder order) {
    return order.nodes() <= watchers ? longestWaitNanos : confirmNanos;
  }

  /** Returns how long a node asks its peers for an announced change before it asks the store. */
  long maxAskingNanos() {
    return confirmNanos;
  }

  /**
   * Returns how often this node confirms. The interval grows with the rank: nodes that confirmed at
   * the same moments would not notice each other.
   */
  long ownConfirmNanos(WatchOrder order) {
    return confirmNanos(order) + Math.min(order.rank(), MAX_SHIFTS) * staggerNanos / MAX_SHIFTS;
  }

  /**
   * Returns how long a watch that brings nothing is trusted while no other node confirms; a node in
   * contact with the store gets confirmations at least this often.
   */
  public long silenceNanos(WatchOrder order) {
    return order.nodes() <= watchers ? longestWaitNanos : trustNanos;
  }

  /**
   * Returns how long a node waits between attempts while the store does not answer it. The pause
   * grows with the number of nodes, so that the calls of the whole fleet do not.
   */
  long probePauseNanos(WatchOrder order) {
    long spread = order.nodes() * TimeUnit.MILLISECONDS.toNanos(100);
    return Math.max(confirmNanos, Math.min(spread, longestWaitNanos));
  }

  /**
   * Returns how long a node pauses between two readings by which it confirms its copy on request.
   * The pause grows with the number of nodes, since they share the reads that the store allows.
   */
  public long confirmationPauseNanos(WatchOrder order) {
    long millis = Math.max(MIN_CONFIRMATION_PAUSE_MILLIS, order.nodes());
    return TimeUnit.MILLISECONDS.toNanos(Math.min(millis, MAX_CONFIRMATION_PAUSE_MILLIS));
  }
}
