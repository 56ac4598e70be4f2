package org.fallturn.core.dispatch;

import java.util.List;
import org.fallturn.core.limits.LimitDigest;
import org.fallturn.core.pace.RecentPace;

/**
 * The load that one node, or a group of nodes together, has at one engine, and what they know of
 * the engine. Nodes exchange it. Immutable.
 *
 * @param running number of requests that the nodes have at the engine
 * @param streams number of long answers among them that have begun
 * @param waitingTokens prompt tokens that the engine has not read yet, by the urgency level of
 *     their requests; zeros at the end are left out
 * @param longestPrompt length in tokens of the longest of these prompts
 * @param suspecting number of nodes that have suspended the engine
 * @param changing number of nodes that have ordered it, or are about to order it, to change to
 *     another stage
 * @param heardAgoMillis time in ms since any of the nodes received a sign of life from it; {@link
 *     #NOT_HEARD} if none has
 * @param leaving number of nodes that know that it is leaving
 * @param limit what the nodes know of a rate limit that the engine announces, and their shares of
 *     it
 * @param pace how much faster or slower than usual the nodes' recent work there was, if it differed
 */
public record EngineDigest(
    int running,
    int streams,
    List<Long> waitingTokens,
    long longestPrompt,
    int suspecting,
    int changing,
    int heardAgoMillis,
    int leaving,
    LimitDigest limit,
    RecentPace pace) {

  /** Value of {@link #heardAgoMillis} if no node has received a sign of life from the engine. */
  public static final int NOT_HEARD = -1;

  /**
   * Creates the digest of an engine that is not known to be leaving, announces no limit and works
   * at its usual pace. All waiting tokens count as one prompt.
   */
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
        sum(waitingTokens),
        suspecting,
        changing,
        heardAgoMillis,
        0,
        LimitDigest.NONE,
        RecentPace.NONE);
  }

  private static long sum(List<Long> tokens) {
    return tokens.stream().mapToLong(Long::longValue).sum();
  }

  /** Returns whether the waiting tokens belong to more than one prompt. */
  public boolean hasSeveralPrompts() {
    return longestPrompt < sum(waitingTokens);
  }

  /**
   * Returns the same digest with another length of the longest waiting prompt.
   *
   * @param tokens the length, or an upper bound of it; no more than all waiting tokens counts
   */
  public EngineDigest withLongestPrompt(long tokens) {
    return new EngineDigest(
        running,
        streams,
        waitingTokens,
        Math.min(tokens, sum(waitingTokens)),
        suspecting,
        changing,
        heardAgoMillis,
        leaving,
        limit,
        pace);
  }

  /** Returns the same digest with the number of nodes that know that the engine is leaving. */
  public EngineDigest withLeaving(int nodes) {
    return new EngineDigest(
        running,
        streams,
        waitingTokens,
        longestPrompt,
        suspecting,
        changing,
        heardAgoMillis,
        nodes,
        limit,
        pace);
  }

  /** Returns the same digest with what is known of the engine's limit. */
  public EngineDigest withLimit(LimitDigest newLimit) {
    return new EngineDigest(
        running,
        streams,
        waitingTokens,
        longestPrompt,
        suspecting,
        changing,
        heardAgoMillis,
        leaving,
        newLimit,
        pace);
  }

  /** Returns the same digest with the pace of recent work. */
  public EngineDigest withPace(RecentPace newPace) {
    return new EngineDigest(
        running,
        streams,
        waitingTokens,
        longestPrompt,
        suspecting,
        changing,
        heardAgoMillis,
        leaving,
        limit,
        newPace);
  }

  /** Copies the list. */
  public EngineDigest {
    waitingTokens = List.copyOf(waitingTokens);
  }
}
