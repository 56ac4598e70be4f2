package org.fallturn.core.query;

import java.util.List;

/**
 * What one node knows of a table at one moment.
 *
 * @param rows each with the values of the table's columns
 * @param ageMillis how old the knowledge is, for example the age of the last load report
 */
public record LiveRows(List<Row> rows, long ageMillis) {

  /** A private copy of the rows. */
  public LiveRows {
    rows = List.copyOf(rows);
  }

  /** Rows that are exact now. */
  public static LiveRows current(List<Row> rows) {
    return new LiveRows(rows, 0);
  }
}
