package org.fallturn.node.operators;

/**
 * Asks a node for its rows of a table.
 *
 * @param table name of the table
 * @param where condition as the operator wrote it; empty for all rows
 */
record TablePartRequest(String table, String where) {}
