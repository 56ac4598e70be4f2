package org.fallturn.core.query;

/**
 * One key of an order.
 *
 * @param fromOutput whether {@code index} counts the outputs, otherwise the columns of the table
 * @param index which one
 * @param descending whether large values come first; NULL always comes last
 */
public record SortKey(boolean fromOutput, int index, boolean descending) {}
