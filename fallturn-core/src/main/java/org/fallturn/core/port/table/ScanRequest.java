package org.fallturn.core.port.table;

/**
 * Read rows of a table in key order, {@code POST /v1/table/scan}.
 *
 * @param table table name
 * @param afterKey only keys above this one; empty for all
 * @param limit at most this many rows
 */
public record ScanRequest(String table, String afterKey, int limit) {}
