package org.fallturn.core.scaling;

/**
 * An order for the number of engines of one kind in a zone.
 *
 * @param service service of the engines
 * @param zone zone they stand in
 * @param count how many there are to be
 * @param loan whether it is for engines on loan
 */
public record ScaleOrder(String service, String zone, int count, boolean loan) {}
