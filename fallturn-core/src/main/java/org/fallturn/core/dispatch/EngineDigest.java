package org.fallturn.core.dispatch;

import java.util.List;
import org.fallturn.core.limits.LimitDigest;
import org.fallturn.core.pace.RecentPace;

/**
 * What one node, or a group of nodes together, has at one engine. Immutable.
 *
 * @param running requests
 * @param streams long answers among them that have begun
 * @param waitingTokens prompt tokens that are not read yet, by the level of urgency of their
 *     requests; zeros at the end are left out
 * @param suspecting nodes that have suspended it
 * @param changing nodes that have ordered it, or are about to order it, to take another stage
 * @param heardAgoMillis time in ms since any of them had a sign of life from it; {@link #NOT_HEARD}
 *     when none had
 * @param leaving nodes that know that it leaves, where its entry does not say so
 * @param limit what they know of a limit that it names, and their parts of it
 * @param pace what their work there lately says of its pace, where it is not as usual
 */
public record EngineDigest(
    int running,
    int streams,
    List<Long> waitingTokens,
    int suspecting,
    int changing,
    int heardAgoMillis,
    int leaving,
    LimitDigest limit,
    RecentPace pace) {

  /** Nobody had a sign of life from the engine. */
  public static final int NOT_HEARD = -1;

  /** What is said of an engine that says nothing of itself. */
  public EngineDigest(
      int running,
      int streams,
      List<Long> waitingTokens,
      int suspecting,
      int changing,
      int heardAgoMillis) {
    this(
        running,
        streams,
        waitingTokens,
        suspecting,
        changing,
        heardAgoMillis,
        0,
        LimitDigest.NONE,
        RecentPace.NONE);
  }

  /** The same, said by so many nodes that know that it leaves. */
  public EngineDigest withLeaving(int nodes) {
    return new EngineDigest(
        running, streams, waitingTokens, suspecting, changing, heardAgoMillis, nodes, limit, pace);
  }

  /** The same, with what is known of its limit. */
  public EngineDigest withLimit(LimitDigest told) {
    return new EngineDigest(
        running, streams, waitingTokens, suspecting, changing, heardAgoMillis, leaving, told, pace);
  }

  /** The same, with what is told of its pace. */
  public EngineDigest withPace(RecentPace told) {
    return new EngineDigest(
        running,
        streams,
        waitingTokens,
        suspecting,
        changing,
        heardAgoMillis,
        leaving,
        limit,
        told);
  }

  /** A private copy of the list. */
  public EngineDigest {
    waitingTokens = List.copyOf(waitingTokens);
  }
}
