package org.fallturn.core.limits;

/**
 * What nodes tell each other of the limit that somebody names of itself. Immutable.
 *
 * @param perSecond the limit; means nothing when none is known
 * @param namedAgoMillis time in ms since it was last named to any of them; {@link #NEVER} when none
 *     is known
 * @param endedAgoMillis time in ms since a request was sent whose answer named none; {@link #NEVER}
 *     when there was none lately
 */
public record LimitWord(double perSecond, int namedAgoMillis, int endedAgoMillis) {

  /** It did not happen, as far as it is known. */
  public static final int NEVER = -1;

  /** Nothing is known. */
  public static final LimitWord NONE = new LimitWord(0, NEVER, NEVER);

  /** Whether a limit is told. */
  public boolean named() {
    return namedAgoMillis != NEVER;
  }

  /** Whether it is told that a limit ended. */
  public boolean ended() {
    return endedAgoMillis != NEVER;
  }

  /** What two together know: the newer of each; of limits named at the same time the lower. */
  public LimitWord and(LimitWord other) {
    LimitWord newer = other.namedLaterThan(this) ? other : this;
    return new LimitWord(
        newer.perSecond,
        newer.namedAgoMillis,
        ended() && other.ended()
            ? Math.min(endedAgoMillis, other.endedAgoMillis)
            : Math.max(endedAgoMillis, other.endedAgoMillis));
  }

  private boolean namedLaterThan(LimitWord other) {
    if (!named() || !other.named()) {
      return named();
    }
    return namedAgoMillis == other.namedAgoMillis
        ? perSecond < other.perSecond
        : namedAgoMillis < other.namedAgoMillis;
  }

  /** The same, told so many ms later. */
  public LimitWord aged(int millis) {
    return new LimitWord(perSecond, aged(namedAgoMillis, millis), aged(endedAgoMillis, millis));
  }

  private static int aged(int agoMillis, int millis) {
    return agoMillis == NEVER ? NEVER : agoMillis + millis;
  }
}
