package org.fallturn.core.idempotency;

import java.util.Optional;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.port.table.RowKey;

/**
 * One attempt's wish to be the only one to run under a key.
 *
 * @param key the claim's row
 * @param attemptId unique id of the attempt
 * @param node the node that makes it
 * @param bodyHash hash of the request's method, path and body
 * @param expiresAtMillis wall-clock time after which the attempt has ended one way or another
 */
public record Claim(
    RowKey key, String attemptId, NodeId node, String bodyHash, long expiresAtMillis) {

  /** The row that makes the claim. */
  public ClaimRow toRow() {
    return new ClaimRow(
        attemptId, node, bodyHash, expiresAtMillis, ClaimRow.State.CLAIMED, Optional.empty());
  }
}
