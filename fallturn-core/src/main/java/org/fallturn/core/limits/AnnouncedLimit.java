package org.fallturn.core.limits;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Which limit is in force, by answers that name it or do not, and by what other nodes tell. Answers
 * overtake each other, and some were made before the limit was announced.
 *
 * <p>Invariant: a limit ends, or rises, only by an answer to a request that was sent after the
 * limit in force had last been announced to this node; it falls at once. What others tell is
 * believed only where it is surely newer than what this node heard itself. Callers see to it that
 * one thread calls at a time.
 */
public final class AnnouncedLimit {

  /** Longer than what one node says takes to another, so that its ages can be compared. */
  private static final long TELLING_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How long an end is told to others: some turns, of which any may be lost. */
  private static final long END_TOLD_NANOS = TimeUnit.SECONDS.toNanos(3);

  private OptionalDouble perSecond = OptionalDouble.empty();
  private long namedNanos;
  private boolean namedHere;
  private boolean everEnded;
  private long endedNanos;

  /** The limit in force; empty when there is none. */
  public OptionalDouble perSecond() {
    return perSecond;
  }

  /** An answer that came now names a limit; whether that changes the one in force. */
  public boolean onLimitAnnounced(double announced, long sentNanos, long nowNanos) {
    boolean rises = perSecond.isPresent() && announced > perSecond.getAsDouble();
    if (rises && sentNanos - namedNanos < 0) {
      return false;
    }
    return set(announced, true, nowNanos);
  }

  /** An answer that came now names none; whether that ends the one in force. */
  public boolean onNoLimitAnnounced(long sentNanos) {
    return end(sentNanos);
  }

  /** Other nodes tell what they know; whether that changes what is in force. */
  public boolean onPeerReport(AnnouncedLimitDigest digest, long nowNanos) {
    long toldNamed = nowNanos - TimeUnit.MILLISECONDS.toNanos(digest.announcedAgoMillis());
    boolean announced =
        digest.announced()
            && newerThanKnown(toldNamed)
            && set(digest.perSecond(), false, toldNamed);
    return digest.ended() && end(toldEnd(digest, nowNanos)) || announced;
  }

  /**
   * The moment that an end which others tell surely came after. Where this node knows the limit
   * from others alone, their own order of the two holds.
   */
  private long toldEnd(AnnouncedLimitDigest digest, long nowNanos) {
    boolean afterNaming =
        !digest.announced() || digest.endedAgoMillis() < digest.announcedAgoMillis();
    long told = nowNanos - TimeUnit.MILLISECONDS.toNanos(digest.endedAgoMillis()) - TELLING_NANOS;
    return !namedHere && afterNaming && told - namedNanos < 0 ? namedNanos : told;
  }

  private boolean newerThanKnown(long toldNamed) {
    if (perSecond.isPresent()) {
      return toldNamed - namedNanos > TELLING_NANOS;
    }
    return !everEnded || toldNamed - endedNanos > TELLING_NANOS;
  }

  private boolean set(double announced, boolean here, long atNanos) {
    boolean changed = perSecond.isEmpty() || perSecond.getAsDouble() != announced;
    perSecond = OptionalDouble.of(announced);
    namedNanos = atNanos;
    namedHere = here;
    return changed;
  }

  private boolean end(long sentNanos) {
    if (perSecond.isEmpty() || sentNanos - namedNanos < 0) {
      return false;
    }
    perSecond = OptionalDouble.empty();
    everEnded = true;
    endedNanos = sentNanos;
    return true;
  }

  /** Whether it was last announced, or ended, within a time. */
  public boolean heardWithin(long nanos, long nowNanos) {
    return nowNanos - namedNanos < nanos || everEnded && nowNanos - endedNanos < nanos;
  }

  /** What this node tells others. */
  public AnnouncedLimitDigest digest(long nowNanos) {
    boolean tellsEnd = everEnded && nowNanos - endedNanos < END_TOLD_NANOS;
    return new AnnouncedLimitDigest(
        perSecond.orElse(0),
        perSecond.isPresent() ? millisSince(namedNanos, nowNanos) : AnnouncedLimitDigest.NEVER,
        tellsEnd ? millisSince(endedNanos, nowNanos) : AnnouncedLimitDigest.NEVER);
  }

  private static int millisSince(long nanos, long nowNanos) {
    return (int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos));
  }
}
