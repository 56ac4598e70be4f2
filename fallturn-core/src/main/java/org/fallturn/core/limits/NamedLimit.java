package org.fallturn.core.limits;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Which limit is in force, by answers that name it or do not, and by what other nodes tell. Answers
 * overtake each other, and some were made before the limit was named.
 *
 * <p>Invariant: a limit ends, or rises, only by an answer to a request that was sent after the
 * limit in force had last been named to this node; it falls at once. What others tell is believed
 * only where it is surely newer than what this node heard itself. Callers see to it that one thread
 * calls at a time.
 */
public final class NamedLimit {

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
  public boolean onNamed(double named, long sentNanos, long nowNanos) {
    boolean rises = perSecond.isPresent() && named > perSecond.getAsDouble();
    if (rises && sentNanos - namedNanos < 0) {
      return false;
    }
    return set(named, true, nowNanos);
  }

  /** An answer that came now names none; whether that ends the one in force. */
  public boolean onNoneNamed(long sentNanos) {
    return end(sentNanos);
  }

  /** Other nodes tell what they know; whether that changes what is in force. */
  public boolean onPeerReport(LimitWord word, long nowNanos) {
    long toldNamed = nowNanos - TimeUnit.MILLISECONDS.toNanos(word.namedAgoMillis());
    boolean named =
        word.named() && newerThanKnown(toldNamed) && set(word.perSecond(), false, toldNamed);
    return word.ended() && end(toldEnd(word, nowNanos)) || named;
  }

  /**
   * The moment that an end which others tell surely came after. Where this node knows the limit
   * from others alone, their own order of the two holds.
   */
  private long toldEnd(LimitWord word, long nowNanos) {
    boolean afterNaming = !word.named() || word.endedAgoMillis() < word.namedAgoMillis();
    long told = nowNanos - TimeUnit.MILLISECONDS.toNanos(word.endedAgoMillis()) - TELLING_NANOS;
    return !namedHere && afterNaming && told - namedNanos < 0 ? namedNanos : told;
  }

  private boolean newerThanKnown(long toldNamed) {
    if (perSecond.isPresent()) {
      return toldNamed - namedNanos > TELLING_NANOS;
    }
    return !everEnded || toldNamed - endedNanos > TELLING_NANOS;
  }

  private boolean set(double named, boolean here, long atNanos) {
    boolean changed = perSecond.isEmpty() || perSecond.getAsDouble() != named;
    perSecond = OptionalDouble.of(named);
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

  /** Whether it was last named, or ended, within a time. */
  public boolean heardWithin(long nanos, long nowNanos) {
    return nowNanos - namedNanos < nanos || everEnded && nowNanos - endedNanos < nanos;
  }

  /** What this node tells others. */
  public LimitWord word(long nowNanos) {
    boolean tellsEnd = everEnded && nowNanos - endedNanos < END_TOLD_NANOS;
    return new LimitWord(
        perSecond.orElse(0),
        perSecond.isPresent() ? millisSince(namedNanos, nowNanos) : LimitWord.NEVER,
        tellsEnd ? millisSince(endedNanos, nowNanos) : LimitWord.NEVER);
  }

  private static int millisSince(long nanos, long nowNanos) {
    return (int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos));
  }
}
