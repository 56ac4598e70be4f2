package org.fallturn.core.query;

/** One column of a result. */
public sealed interface Output {

  /** Its name in the result. */
  String name();

  /**
   * A column of the table.
   *
   * @param name name in the result
   * @param index index of the column in the table
   */
  record ColumnOutput(String name, int index) implements Output {}

  /**
   * An aggregate over the rows of a group.
   *
   * @param name name in the result
   * @param function what is computed
   * @param index index of the column in the table, or {@link #ALL_ROWS}
   */
  record AggregateOutput(String name, Function function, int index) implements Output {

    /** The index in {@code count(*)}. */
    public static final int ALL_ROWS = -1;
  }

  /** What an aggregate computes; all but count ignore values that are no numbers or NULL. */
  enum Function {
    /** Number of rows, or of values that are not NULL. */
    COUNT,
    /** Sum of numbers. */
    SUM,
    /** Smallest value. */
    MIN,
    /** Largest value. */
    MAX,
    /** Mean of numbers. */
    AVG
  }
}
