package org.fallturn.core.stages;

/**
 * Row of the store that records which node may give orders.
 *
 * @param holder name of the node; a node keeps its name when it restarts
 * @param untilMillis end of the lease in ms on the store's steady clock
 */
public record OrderLeaseRow(String holder, long untilMillis) {}
