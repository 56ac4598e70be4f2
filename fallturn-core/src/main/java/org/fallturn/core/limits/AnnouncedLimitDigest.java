package org.fallturn.core.limits;

/**
 * What nodes tell each other of the limit that somebody names of itself. Immutable.
 *
 * @param perSecond the limit; means nothing when none is known
 * @param announcedAgoMillis time in ms since it was last announced to any of them; {@link #NEVER}
 *     when none is known
 * @param endedAgoMillis time in ms since a request was sent whose answer announced none; {@link
 *     #NEVER} when there was none lately
 */
public record AnnouncedLimitDigest(double perSecond, int announcedAgoMillis, int endedAgoMillis) {

  /** It did not happen, as far as it is known. */
  public static final int NEVER = -1;

  /** Nothing is known. */
  public static final AnnouncedLimitDigest NONE = new AnnouncedLimitDigest(0, NEVER, NEVER);

  /** Whether a limit is told. */
  public boolean announced() {
    return announcedAgoMillis != NEVER;
  }

  /** Whether it is told that a limit ended. */
  public boolean ended() {
    return endedAgoMillis != NEVER;
  }

  /** What two together know: the newer of each; of limits announced at the same time the lower. */
  public AnnouncedLimitDigest and(AnnouncedLimitDigest other) {
    AnnouncedLimitDigest newer = other.namedLaterThan(this) ? other : this;
    return new AnnouncedLimitDigest(
        newer.perSecond,
        newer.announcedAgoMillis,
        ended() && other.ended()
            ? Math.min(endedAgoMillis, other.endedAgoMillis)
            : Math.max(endedAgoMillis, other.endedAgoMillis));
  }

  private boolean namedLaterThan(AnnouncedLimitDigest other) {
    if (!announced() || !other.announced()) {
      return announced();
    }
    return announcedAgoMillis == other.announcedAgoMillis
        ? perSecond < other.perSecond
        : announcedAgoMillis < other.announcedAgoMillis;
  }

  /** The same, told so many ms later. */
  public AnnouncedLimitDigest aged(int millis) {
    return new AnnouncedLimitDigest(
        perSecond, aged(announcedAgoMillis, millis), aged(endedAgoMillis, millis));
  }

  private static int aged(int agoMillis, int millis) {
    return agoMillis == NEVER ? NEVER : agoMillis + millis;
  }
}
