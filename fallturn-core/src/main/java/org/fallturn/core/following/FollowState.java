package org.fallturn.core.following;

/**
 * What a node knows of a table at one moment.
 *
 * @param known whether the table has been read at all
 * @param wholeDue whether the next call to the store should read the table whole
 * @param position the position of the store's history that is reached
 * @param newest the newest change that any node has seen
 * @param sinceOwnNanos time since the store last answered this node; the greatest value for never
 * @param sinceOthersNanos time since another node last told that the store answered it
 * @param order this node's place among those that watch
 */
public record FollowState(
    boolean known,
    boolean wholeDue,
    long position,
    long newest,
    long sinceOwnNanos,
    long sinceOthersNanos,
    WatchOrder order) {

  /** Time since it was certain that there was nothing newer than what had been told. */
  long ageNanos() {
    return Math.min(sinceOwnNanos, sinceOthersNanos);
  }
}
