package org.fallturn.core.port.table;

/**
 * A conditional write of one row.
 *
 * @param key the row
 * @param expectedVersion the version the row must have now; {@link TableRow#ABSENT} to create it
 * @param value the new JSON text; null deletes the row
 */
public record RowWrite(RowKey key, long expectedVersion, String value) {}
