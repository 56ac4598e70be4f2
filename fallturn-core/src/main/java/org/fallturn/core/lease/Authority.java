package org.fallturn.core.lease;

import org.fallturn.core.domain.Epoch;

/**
 * This node's right to order the engines of a pool. Immutable, so that the sender of an order can
 * check it by the monotonic clock right before the send without asking the lease's thread.
 *
 * @param epoch the epoch that orders carry
 * @param validUntilNanos end of the right, on the monotonic clock of this node
 */
public record Authority(Epoch epoch, long validUntilNanos) {

  /** Whether an order may be sent now. */
  public boolean permits(long nowNanos) {
    return validUntilNanos - nowNanos > 0;
  }
}
