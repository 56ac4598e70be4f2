package org.fallturn.core.query;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Arrays;
import java.util.List;

/**
 * One row of a table or of a result.
 *
 * @param values in the order of the columns
 */
public record Row(@JsonValue List<Value> values) {

  /** A private copy of the values, with an absent one read as NULL. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public Row {
    values = values.stream().map(value -> value == null ? Value.NULL : value).toList();
  }

  /** A row of plain values; see {@link Value#of}. */
  public static Row of(Object... contents) {
    return new Row(Arrays.stream(contents).map(Value::of).toList());
  }

  /** The value in a column, by its index. */
  public Value get(int column) {
    return values.get(column);
  }
}
