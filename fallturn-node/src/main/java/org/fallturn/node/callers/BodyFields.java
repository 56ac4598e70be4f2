package org.fallturn.node.callers;

import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;

/** Checks of the fields of callers' bodies; each names the field. Stateless. */
final class BodyFields {

  private BodyFields() {}

  static void requirePresent(Object value, String field) throws FallturnException {
    if (value == null) {
      throw invalid(field, "is missing");
    }
  }

  static void requireText(String value, String field) throws FallturnException {
    requirePresent(value, field);
    if (value.isBlank()) {
      throw invalid(field, "must not be blank");
    }
  }

  static FallturnException invalid(String field, String fault) {
    return new FallturnException(ErrorKind.INVALID_REQUEST, "field " + field + " " + fault);
  }
}
