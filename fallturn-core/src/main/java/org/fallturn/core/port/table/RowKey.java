package org.fallturn.core.port.table;

/**
 * Names a row of the table service.
 *
 * @param table table name
 * @param key key within the table
 */
public record RowKey(String table, String key) {}
