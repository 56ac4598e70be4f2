package org.fallturn.core.lease;

import org.fallturn.core.domain.NodeId;

/**
 * A witness's answer to a {@link ConsentRequest}.
 *
 * @param responder the process that answers
 * @param result what it answers
 */
public record ConsentAnswer(NodeId responder, Result result) {

  /** The closed list of results. */
  public enum Result {
    /** No promise stands in the way, and none will be given for this version or an earlier one. */
    CONSENTED,
    /** A promise is still running; ask again. */
    PROMISE_RUNNING,
    /** The process asked for is gone. */
    WRONG_PROCESS
  }
}
