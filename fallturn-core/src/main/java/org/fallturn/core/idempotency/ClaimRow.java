package org.fallturn.core.idempotency;

import java.util.Optional;
import org.fallturn.core.domain.NodeId;

/**
 * Content of a claim's row. A row moves from CLAIMED to one of the other states and from RELEASED
 * to CLAIMED by another attempt, each time with a higher row version. It is never deleted while the
 * request behind it may still be on its way, so that a late write can never hit a later claim.
 *
 * @param attemptId unique id of the attempt that holds the claim
 * @param node the node that made the attempt
 * @param bodyHash hash of the request's method, path and body
 * @param expiresAtMillis wall-clock time after which the attempt has ended one way or another
 * @param state what is known of the attempt
 * @param answer the answer, when FINISHED and small enough to be kept
 */
public record ClaimRow(
    String attemptId,
    NodeId node,
    String bodyHash,
    long expiresAtMillis,
    State state,
    Optional<StoredAnswer> answer) {

  /** What is known of the attempt that holds a claim. */
  public enum State {
    /** It may be running, or may have run. */
    CLAIMED,
    /** It ran and ended; its answer is kept if there was a whole one. */
    FINISHED,
    /** It certainly did not run and never will; the key is free. */
    RELEASED
  }

  /** The same attempt in another state. */
  public ClaimRow with(State newState, Optional<StoredAnswer> newAnswer) {
    return new ClaimRow(attemptId, node, bodyHash, expiresAtMillis, newState, newAnswer);
  }
}
