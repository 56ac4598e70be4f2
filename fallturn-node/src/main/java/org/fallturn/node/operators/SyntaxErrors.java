package org.fallturn.node.operators;

import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.query.TableSchema;

/** Errors about the text of a statement. */
final class SyntaxErrors {

  private SyntaxErrors() {}

  static FallturnException invalid(String message) {
    return new FallturnException(ErrorKind.INVALID_REQUEST, message);
  }

  static FallturnException noColumn(String column, TableSchema schema) {
    return invalid(
        "table "
            + schema.name()
            + " has no column "
            + column
            + "; its columns are "
            + schema.columnNames());
  }

  /** Refuses clauses that were parsed but are not supported. */
  static void requireSame(Object parsed, Object understood, String supported)
      throws FallturnException {
    if (!parsed.toString().equals(understood.toString())) {
      throw invalid(
          "not supported: "
              + parsed
              + "; only this part of it is: "
              + understood
              + "; allowed is "
              + supported);
    }
  }
}
