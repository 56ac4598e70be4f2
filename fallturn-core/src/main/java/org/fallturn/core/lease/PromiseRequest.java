package org.fallturn.core.lease;

import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;

/**
 * A holder that cannot reach the table asks a witness to extend its lease.
 *
 * @param witness the process that is asked; another one must not answer
 * @param pool the pool
 * @param holder who asks
 * @param epoch its epoch
 * @param version the row version of its last confirmed renewal
 * @param durationMillis for how long the witness shall consent to no takeover
 */
public record PromiseRequest(
    NodeId witness, PoolId pool, NodeId holder, Epoch epoch, long version, long durationMillis) {}
