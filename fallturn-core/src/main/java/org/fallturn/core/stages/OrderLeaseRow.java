package org.fallturn.core.stages;

/**
 * The row of the store that says who may give orders.
 *
 * @param holder name of the node; a node that restarts keeps its name
 * @param untilMillis until when, on the store's steady clock
 */
public record OrderLeaseRow(String holder, long untilMillis) {}
