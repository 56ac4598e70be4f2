package org.fallturn.core.port.feed;

/**
 * A row as it was at one position of the store's history.
 *
 * @param key key within the table
 * @param position position at which the row was last written, in the era in which it was read
 * @param value its text; empty when it is gone
 * @param gone whether the row was removed
 */
public record FeedRow(String key, StorePosition position, String value, boolean gone) {}
