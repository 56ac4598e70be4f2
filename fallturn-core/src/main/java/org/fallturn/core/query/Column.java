package org.fallturn.core.query;

/**
 * A column of a table.
 *
 * @param name lower-case name with underscores
 * @param type what its values are
 */
public record Column(String name, Type type) {

  /** What the values of a column are; any may be NULL. */
  public enum Type {
    /** Text. */
    TEXT,
    /** A whole number. */
    INTEGER,
    /** A decimal number. */
    DECIMAL,
    /** A truth value. */
    BOOLEAN
  }

  /** A text column. */
  public static Column text(String name) {
    return new Column(name, Type.TEXT);
  }

  /** A column of whole numbers. */
  public static Column integer(String name) {
    return new Column(name, Type.INTEGER);
  }

  /** A column of decimal numbers. */
  public static Column decimal(String name) {
    return new Column(name, Type.DECIMAL);
  }

  /** A column of truth values. */
  public static Column bool(String name) {
    return new Column(name, Type.BOOLEAN);
  }
}
