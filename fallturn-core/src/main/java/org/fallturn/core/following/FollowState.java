package org.fallturn.core.following;

import org.fallturn.core.port.feed.StorePosition;

/**
 * What a node knows of a table at one moment.
 *
 * @param known whether the table has been read at least once
 * @param wholeDue whether the next call to the store should read the whole table
 * @param position the position in the store's history that the node's copy has reached
 * @param newest the position of the newest change that any node has announced; of a later era than
 *     the copy once any node has read a restored store
 * @param sinceOwnNanos time since the store last answered this node; {@link Long#MAX_VALUE} for
 *     never
 * @param sinceOthersNanos time since another node last confirmed that the store answered it; {@link
 *     Long#MAX_VALUE} for never
 * @param order this node's place in the order in which nodes watch the store
 */
public record FollowState(
    boolean known,
    boolean wholeDue,
    StorePosition position,
    StorePosition newest,
    long sinceOwnNanos,
    long sinceOthersNanos,
    WatchOrder order) {

  /** Returns the time since the store last confirmed, to any node, that there was nothing newer. */
  long ageNanos() {
    return Math.min(sinceOwnNanos, sinceOthersNanos);
  }
}
