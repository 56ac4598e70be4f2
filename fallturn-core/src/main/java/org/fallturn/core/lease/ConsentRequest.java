package org.fallturn.core.lease;

import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;

/**
 * A challenger that has waited out a lease asks a witness whether it may take over.
 *
 * @param witness the process that is asked; another one must not answer
 * @param pool the pool
 * @param challenger who asks
 * @param version the row version it wants to replace
 */
public record ConsentRequest(NodeId witness, PoolId pool, NodeId challenger, long version) {}
