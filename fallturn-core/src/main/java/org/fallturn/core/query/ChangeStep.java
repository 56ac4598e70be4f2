package org.fallturn.core.query;

import java.util.List;
import java.util.Map;

/** One statement that changes a configuration table, checked against the table's schema. */
public sealed interface ChangeStep {

  /** Name of the table. */
  String table();

  /**
   * Adds rows.
   *
   * @param table name of the table
   * @param rows for each row, values by column; columns left out take their defaults
   */
  record Insert(String table, List<Map<String, Value>> rows) implements ChangeStep {

    /** A private copy of the rows. */
    public Insert {
      rows = List.copyOf(rows);
    }
  }

  /**
   * Changes rows.
   *
   * @param table name of the table
   * @param values new values by column
   * @param where only rows for which it holds
   */
  record Update(String table, Map<String, Value> values, Condition where) implements ChangeStep {

    /** A private copy of the values. */
    public Update {
      values = Map.copyOf(values);
    }
  }

  /**
   * Removes rows.
   *
   * @param table name of the table
   * @param where only rows for which it holds
   */
  record Delete(String table, Condition where) implements ChangeStep {}
}
