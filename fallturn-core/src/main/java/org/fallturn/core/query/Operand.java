package org.fallturn.core.query;

/** What a comparison compares. */
public sealed interface Operand {

  /** Its value for a row. */
  Value valueIn(Row row);

  /**
   * A column of the row.
   *
   * @param index index of the column in the table
   */
  record ColumnOperand(int index) implements Operand {
    @Override
    public Value valueIn(Row row) {
      return row.get(index);
    }
  }

  /**
   * A constant.
   *
   * @param value the value
   */
  record Literal(Value value) implements Operand {
    @Override
    public Value valueIn(Row row) {
      return value;
    }
  }
}
