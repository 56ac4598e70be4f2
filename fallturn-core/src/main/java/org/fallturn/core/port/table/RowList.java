package org.fallturn.core.port.table;

import java.util.List;

/**
 * Rows that a read or scan returned.
 *
 * @param rows in the order asked for
 */
public record RowList(List<TableRow> rows) {

  /** A private copy of the rows. */
  public RowList {
    rows = List.copyOf(rows);
  }
}
