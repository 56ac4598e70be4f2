package org.fallturn.core.stages;

/**
 * Row of the store that records which node may give orders.
 *
 * @param holder name of the node; a node keeps its name when it restarts
 * @param untilMillis end of the lease in ms on the store's steady clock
 * @param era era of the store in which the lease was taken; 0 in a row of a build that writes none
 */
public record OrderLeaseRow(String holder, long untilMillis, long era) {}
