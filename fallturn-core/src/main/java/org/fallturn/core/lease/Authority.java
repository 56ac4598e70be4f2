package org.fallturn.core.lease;

import org.fallturn.core.domain.Epoch;

/**
 * This node's right to order the engines of a pool. Immutable, so that the sender of an order can
 * check it by the monotonic clock right before the send without asking the lease's thread.
 *
 * @param epoch the epoch that orders carry
 * @param leaseEndNanos end of the lease in the table, on the monotonic clock of this node
 * @param validUntilNanos end of the right, on the same clock; later than the lease's end when
 *     witnesses have extended it
 */
public record Authority(Epoch epoch, long leaseEndNanos, long validUntilNanos) {

  /** Whether an order may be sent now. */
  public boolean permits(long nowNanos) {
    return validUntilNanos - nowNanos > 0;
  }

  /** Whether an order may be sent now by the consent of the witnesses alone. */
  public boolean isExtended(long nowNanos) {
    return permits(nowNanos) && leaseEndNanos - nowNanos <= 0;
  }
}
