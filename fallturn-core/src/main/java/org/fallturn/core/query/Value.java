package org.fallturn.core.query;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One value of a row: text, a whole or a decimal number, a truth value, or null.
 *
 * @param content a {@link String}, {@link Long}, {@link Double}, {@link Boolean} or null
 */
public record Value(@JsonValue Object content) {

  /** SQL's NULL. */
  public static final Value NULL = new Value(null);

  /** Accepts the five kinds; smaller whole numbers are widened, anything else becomes its text. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public Value {
    if (content instanceof Integer || content instanceof Short || content instanceof Byte) {
      content = ((Number) content).longValue();
    } else if (content instanceof Float) {
      content = ((Number) content).doubleValue();
    } else if (!(content == null
        || content instanceof String
        || content instanceof Long
        || content instanceof Double
        || content instanceof Boolean)) {
      content = content.toString();
    }
  }

  /** A value of any kind; see the constructor. */
  public static Value of(Object content) {
    return content == null ? NULL : new Value(content);
  }

  /** Whether it is NULL. */
  public boolean isNull() {
    return content == null;
  }

  /** Whether it is a whole or decimal number. */
  public boolean isNumber() {
    return content instanceof Number;
  }

  /** The number, for arithmetic; only when {@link #isNumber()}. */
  public double asDouble() {
    return ((Number) content).doubleValue();
  }

  /** As shown to an operator; NULL is shown as empty text. */
  public String text() {
    return content == null ? "" : content.toString();
  }

  /**
   * Order among values that are not null: numbers by size, all others by their text. A number goes
   * before a text.
   */
  public int compareTo(Value other) {
    if (content instanceof Long left && other.content instanceof Long right) {
      return Long.compare(left, right);
    }
    if (isNumber() && other.isNumber()) {
      return Double.compare(asDouble(), other.asDouble());
    }
    if (isNumber() != other.isNumber()) {
      return isNumber() ? -1 : 1;
    }
    return text().compareTo(other.text());
  }
}
