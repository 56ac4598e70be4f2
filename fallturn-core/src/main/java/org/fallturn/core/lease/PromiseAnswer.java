package org.fallturn.core.lease;

import org.fallturn.core.domain.NodeId;

/**
 * A witness's answer to a {@link PromiseRequest}.
 *
 * @param responder the process that answers
 * @param result what it answers
 */
public record PromiseAnswer(NodeId responder, Result result) {

  /** The closed list of results. */
  public enum Result {
    /** The witness consents to no takeover for the duration asked for. */
    PROMISED,
    /** The witness reaches the table, so that the holder's way to it must be at fault. */
    TABLE_REACHABLE,
    /** A challenger has asked about this or a later version. */
    CONTESTED,
    /** The process asked for is gone. */
    WRONG_PROCESS
  }
}
