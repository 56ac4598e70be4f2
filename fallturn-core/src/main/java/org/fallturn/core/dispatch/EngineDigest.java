package org.fallturn.core.dispatch;

import java.util.List;

/**
 * What one node has at one engine.
 *
 * @param running requests
 * @param streams long answers among them that have begun
 * @param waitingTokens prompt tokens that are not read yet, by the level of urgency of their
 *     requests; zeros at the end are left out
 * @param suspended whether the node has suspended it
 * @param changing whether the node has ordered it, or is about to order it, to take another stage
 */
public record EngineDigest(
    int running, int streams, List<Long> waitingTokens, boolean suspended, boolean changing) {

  /** A private copy of the list. */
  public EngineDigest {
    waitingTokens = List.copyOf(waitingTokens);
  }
}
