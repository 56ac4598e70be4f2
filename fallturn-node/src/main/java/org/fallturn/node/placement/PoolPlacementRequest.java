package org.fallturn.node.placement;

import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PlacementRequest;

/**
 * A placement request as it goes to a pool's leader.
 *
 * @param pool the pool asked
 * @param mayQueue whether the leader may hold the answer back while the request waits
 * @param request the request
 */
public record PoolPlacementRequest(PoolId pool, boolean mayQueue, PlacementRequest request) {}
