package org.fallturn.core.scaling;

/**
 * Order for the number of engines of one kind in a zone.
 *
 * @param service service of the engines
 * @param zone zone in which they run
 * @param count number of engines that there are to be
 * @param loan whether the order is for loaned engines
 */
public record ScaleOrder(String service, String zone, int count, boolean loan) {}
