package org.fallturn.core.query;

import java.util.List;

/**
 * Name and columns of a table.
 *
 * @param name lower-case name, plural
 * @param columns in the order of each row's values
 */
public record TableSchema(String name, List<Column> columns) {

  /** A private copy of the columns. */
  public TableSchema {
    columns = List.copyOf(columns);
  }

  /** A schema of the given columns. */
  public static TableSchema of(String name, Column... columns) {
    return new TableSchema(name, List.of(columns));
  }

  /** Index of a column, or -1 when there is none of that name. */
  public int indexOf(String column) {
    for (int index = 0; index < columns.size(); index++) {
      if (columns.get(index).name().equalsIgnoreCase(column)) {
        return index;
      }
    }
    return -1;
  }

  /** Names of the columns. */
  public List<String> columnNames() {
    return columns.stream().map(Column::name).toList();
  }
}
