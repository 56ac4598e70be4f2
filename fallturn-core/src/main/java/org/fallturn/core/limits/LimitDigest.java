package org.fallturn.core.limits;

/**
 * The state of a shared rate limit that nodes send to each other. Immutable.
 *
 * @param rate the sender's part of the rate
 * @param announced what the sender knows of the limit that the engine announced
 */
public record LimitDigest(RateDigest rate, AnnouncedLimitDigest announced) {

  /** The digest that carries no information. */
  public static final LimitDigest NONE =
      new LimitDigest(RateDigest.NONE, AnnouncedLimitDigest.NONE);

  /**
   * Returns whether this digest carries no information. Each process that starts calls this for
   * every engine. It compares fields, since the JVM links the equals method of a record on first
   * use, which delays the start.
   */
  public boolean isNegligible() {
    return rate.nodes() == 0 && !announced.announced() && !announced.ended();
  }

  /**
   * Returns what this digest and another one say together. For most engines neither says anything,
   * and then nothing is allocated.
   */
  public LimitDigest and(LimitDigest other) {
    if (isNegligible() || other.isNegligible()) {
      return isNegligible() ? other : this;
    }
    return new LimitDigest(rate.plus(other.rate), announced.and(other.announced));
  }

  /**
   * Returns this digest with its ages increased.
   *
   * @param millis time in ms to add
   */
  public LimitDigest aged(int millis) {
    return isNegligible() ? NONE : new LimitDigest(rate, announced.aged(millis));
  }
}
