package org.fallturn.core.limits;

/**
 * What nodes tell each other of a limit that they keep together. Immutable.
 *
 * @param rate their parts of it
 * @param word what they know of the limit itself
 */
public record LimitDigest(RateDigest rate, AnnouncedLimitDigest word) {

  /** Nothing is told. */
  public static final LimitDigest NONE =
      new LimitDigest(RateDigest.NONE, AnnouncedLimitDigest.NONE);

  /**
   * Whether nothing is told. Asked for each engine by each process that starts, and so by fields:
   * the equality of records is linked on first use, which holds a start up.
   */
  public boolean isNegligible() {
    return rate.nodes() == 0 && !word.announced() && !word.ended();
  }

  /** What both tell together; for most engines that is nothing, and costs nothing. */
  public LimitDigest and(LimitDigest other) {
    if (isNegligible() || other.isNegligible()) {
      return isNegligible() ? other : this;
    }
    return new LimitDigest(rate.plus(other.rate), word.and(other.word));
  }

  /** The same, told so many ms later. */
  public LimitDigest aged(int millis) {
    return isNegligible() ? NONE : new LimitDigest(rate, word.aged(millis));
  }
}
