package org.fallturn.core.limits;

/**
 * What nodes report to each other of the rate limit that an engine announced for itself. Immutable.
 *
 * @param perSecond the limit in requests per second; without meaning when none is known
 * @param announcedAgoMillis time in ms since the engine last announced it to any of these nodes;
 *     {@link #NEVER} when no limit is known
 * @param endedAgoMillis time in ms since a node sent the request whose answer announced no limit
 *     any more; {@link #NEVER} when there was none recently
 */
public record AnnouncedLimitDigest(double perSecond, int announcedAgoMillis, int endedAgoMillis) {

  /** The age of an event that is not known to have happened. */
  public static final int NEVER = -1;

  /** The digest of a node that knows of no limit. */
  public static final AnnouncedLimitDigest NONE = new AnnouncedLimitDigest(0, NEVER, NEVER);

  /** Returns whether this digest reports a limit. */
  public boolean announced() {
    return announcedAgoMillis != NEVER;
  }

  /** Returns whether this digest reports that a limit ended. */
  public boolean ended() {
    return endedAgoMillis != NEVER;
  }

  /**
   * Merges two digests: the newer of each event wins; of limits announced at the same time the
   * lower one wins.
   */
  public AnnouncedLimitDigest and(AnnouncedLimitDigest other) {
    AnnouncedLimitDigest newer = other.announcedLaterThan(this) ? other : this;
    return new AnnouncedLimitDigest(
        newer.perSecond,
        newer.announcedAgoMillis,
        ended() && other.ended()
            ? Math.min(endedAgoMillis, other.endedAgoMillis)
            : Math.max(endedAgoMillis, other.endedAgoMillis));
  }

  private boolean announcedLaterThan(AnnouncedLimitDigest other) {
    if (!announced() || !other.announced()) {
      return announced();
    }
    return announcedAgoMillis == other.announcedAgoMillis
        ? perSecond < other.perSecond
        : announcedAgoMillis < other.announcedAgoMillis;
  }

  /**
   * Returns this digest with its ages increased.
   *
   * @param millis time in ms to add
   */
  public AnnouncedLimitDigest aged(int millis) {
    return new AnnouncedLimitDigest(
        perSecond, aged(announcedAgoMillis, millis), aged(endedAgoMillis, millis));
  }

  private static int aged(int agoMillis, int millis) {
    return agoMillis == NEVER ? NEVER : agoMillis + millis;
  }
}
