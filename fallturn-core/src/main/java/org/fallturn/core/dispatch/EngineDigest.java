package org.fallturn.core.dispatch;

import java.util.List;

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
 */
public record EngineDigest(
    int running,
    int streams,
    List<Long> waitingTokens,
    int suspecting,
    int changing,
    int heardAgoMillis) {

  /** Nobody had a sign of life from the engine. */
  public static final int NOT_HEARD = -1;

  /** A private copy of the list. */
  public EngineDigest {
    waitingTokens = List.copyOf(waitingTokens);
  }
}
