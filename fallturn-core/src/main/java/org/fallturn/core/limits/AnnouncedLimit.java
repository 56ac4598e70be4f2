package org.fallturn.core.limits;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * The rate limit of one engine that is in force, learned from the engine's answers, which announce
 * a limit or none, and from the digests of other nodes. Answers may overtake each other, and an
 * engine may have produced an answer before it announced the limit.
 *
 * <p>Invariant: a limit ends or rises only through an answer to a request that was sent after the
 * limit in force was last announced to this node; it falls at once. A report of another node counts
 * only where it is certainly newer than what the engine told this node. The caller must make sure
 * that one thread calls at a time.
 */
public final class AnnouncedLimit {

  /**
   * An upper bound on the time that a digest takes from one node to another. Ages that differ by
   * more can be compared.
   */
  private static final long PROPAGATION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * How long the end of a limit is reported to other nodes: several rounds, any of which may be
   * lost.
   */
  private static final long END_REPORT_NANOS = TimeUnit.SECONDS.toNanos(3);

  private OptionalDouble perSecond = OptionalDouble.empty();
  private long announcedNanos;
  private boolean announcedToThisNode;
  private boolean everEnded;
  private long endedNanos;

  /** The limit in force, in requests per second; empty when there is none. */
  public OptionalDouble perSecond() {
    return perSecond;
  }

  /**
   * Handles an answer, received now, that announces a limit.
   *
   * @param announced the limit in requests per second
   * @param sentNanos when the request was sent
   * @return whether the limit in force changes
   */
  public boolean onLimitAnnounced(double announced, long sentNanos, long nowNanos) {
    boolean rises = perSecond.isPresent() && announced > perSecond.getAsDouble();
    if (rises && sentNanos - announcedNanos < 0) {
      return false;
    }
    return set(announced, true, nowNanos);
  }

  /**
   * Handles an answer that announces no limit.
   *
   * @param sentNanos when the request was sent
   * @return whether the limit in force ends
   */
  public boolean onNoLimitAnnounced(long sentNanos) {
    return end(sentNanos);
  }

  /**
   * Handles the digest of other nodes.
   *
   * @return whether the limit in force changes
   */
  public boolean onPeerReport(AnnouncedLimitDigest digest, long nowNanos) {
    long announcedByReportNanos =
        nowNanos - TimeUnit.MILLISECONDS.toNanos(digest.announcedAgoMillis());
    boolean announced =
        digest.announced()
            && newerThanKnown(announcedByReportNanos)
            && set(digest.perSecond(), false, announcedByReportNanos);
    return digest.ended() && end(latestSafeEnd(digest, nowNanos)) || announced;
  }

  /**
   * Returns a time that certainly is not later than the reported end. When this node knows the
   * limit from other nodes only, their order of announcement and end holds.
   */
  private long latestSafeEnd(AnnouncedLimitDigest digest, long nowNanos) {
    boolean endedAfterAnnouncement =
        !digest.announced() || digest.endedAgoMillis() < digest.announcedAgoMillis();
    long reportedEndNanos =
        nowNanos - TimeUnit.MILLISECONDS.toNanos(digest.endedAgoMillis()) - PROPAGATION_NANOS;
    return !announcedToThisNode && endedAfterAnnouncement && reportedEndNanos - announcedNanos < 0
        ? announcedNanos
        : reportedEndNanos;
  }

  private boolean newerThanKnown(long announcedByReportNanos) {
    if (perSecond.isPresent()) {
      return announcedByReportNanos - announcedNanos > PROPAGATION_NANOS;
    }
    return !everEnded || announcedByReportNanos - endedNanos > PROPAGATION_NANOS;
  }

  private boolean set(double announced, boolean toThisNode, long atNanos) {
    boolean changed = perSecond.isEmpty() || perSecond.getAsDouble() != announced;
    perSecond = OptionalDouble.of(announced);
    announcedNanos = atNanos;
    announcedToThisNode = toThisNode;
    return changed;
  }

  private boolean end(long sentNanos) {
    if (perSecond.isEmpty() || sentNanos - announcedNanos < 0) {
      return false;
    }
    perSecond = OptionalDouble.empty();
    everEnded = true;
    endedNanos = sentNanos;
    return true;
  }

  /** Returns whether the limit was last announced, or ended, within the given time. */
  public boolean heardWithin(long nanos, long nowNanos) {
    return nowNanos - announcedNanos < nanos || everEnded && nowNanos - endedNanos < nanos;
  }

  /** The digest that this node sends to others. */
  public AnnouncedLimitDigest digest(long nowNanos) {
    boolean reportsEnd = everEnded && nowNanos - endedNanos < END_REPORT_NANOS;
    return new AnnouncedLimitDigest(
        perSecond.orElse(0),
        perSecond.isPresent() ? millisSince(announcedNanos, nowNanos) : AnnouncedLimitDigest.NEVER,
        reportsEnd ? millisSince(endedNanos, nowNanos) : AnnouncedLimitDigest.NEVER);
  }

  private static int millisSince(long nanos, long nowNanos) {
    return (int) Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos));
  }
}
