package org.fallturn.core.query;

import java.util.Locale;
import java.util.Map;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;

/**
 * Values of one configuration row by column, read with the type each column needs. The error names
 * table and column and says what is allowed.
 *
 * @param table name of the table
 * @param values by column
 */
record RowValues(String table, Map<String, Value> values) {

  String text(String column) throws FallturnException {
    Value value = required(column);
    if (!(value.content() instanceof String text) || text.isBlank()) {
      throw invalid(column, "must be a text in single quotes that is not blank", value);
    }
    return text;
  }

  String optionalText(String column) throws FallturnException {
    Value value = values.getOrDefault(column, Value.NULL);
    if (value.isNull()) {
      return "";
    }
    if (!(value.content() instanceof String text)) {
      throw invalid(column, "must be a text in single quotes", value);
    }
    return text;
  }

  double decimal(String column, double absent) throws FallturnException {
    Value value = values.getOrDefault(column, Value.NULL);
    return value.isNull() ? absent : decimal(column);
  }

  double decimal(String column) throws FallturnException {
    Value value = required(column);
    if (!value.isNumber()) {
      throw invalid(column, "must be a number", value);
    }
    return value.asDouble();
  }

  long whole(String column) throws FallturnException {
    Value value = required(column);
    if (!(value.content() instanceof Long whole)) {
      throw invalid(column, "must be a whole number", value);
    }
    return whole;
  }

  int count(String column) throws FallturnException {
    long whole = whole(column);
    if (whole < 0 || whole > Integer.MAX_VALUE) {
      throw invalid(column, "must be 0 to " + Integer.MAX_VALUE, Value.of(whole));
    }
    return (int) whole;
  }

  int count(String column, int absent) throws FallturnException {
    return values.getOrDefault(column, Value.NULL).isNull() ? absent : count(column);
  }

  boolean flag(String column) throws FallturnException {
    Value value = required(column);
    if (!(value.content() instanceof Boolean flag)) {
      throw invalid(column, "must be TRUE or FALSE", value);
    }
    return flag;
  }

  <E extends Enum<E>> E constant(String column, Class<E> type, E absent) throws FallturnException {
    Value value = values.getOrDefault(column, Value.NULL);
    if (value.isNull()) {
      return absent;
    }
    String name = value.text().toUpperCase(Locale.ROOT);
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equals(name)) {
        return constant;
      }
    }
    String allowed = java.util.Arrays.toString(type.getEnumConstants());
    throw invalid(column, "must be one of " + allowed, value);
  }

  private Value required(String column) throws FallturnException {
    Value value = values.getOrDefault(column, Value.NULL);
    if (value.isNull()) {
      throw new FallturnException(
          ErrorKind.INVALID_REQUEST, "table " + table + ": column " + column + " needs a value");
    }
    return value;
  }

  FallturnException invalid(String column, String rule, Value value) {
    return new FallturnException(
        ErrorKind.INVALID_REQUEST,
        "table " + table + ": column " + column + " " + rule + ", but is " + value.text());
  }
}
