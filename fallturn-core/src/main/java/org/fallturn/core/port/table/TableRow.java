package org.fallturn.core.port.table;

/**
 * A row as it was read.
 *
 * @param key its name
 * @param version rises by one with each write; 0 means that the row is absent
 * @param value JSON text; empty when absent
 */
public record TableRow(RowKey key, long version, String value) {

  /** Version of a row that does not exist. */
  public static final long ABSENT = 0;
}
