package org.fallturn.core.domain;

/** Checks shared by the identifier records of this package. */
final class Identifiers {

  private Identifiers() {}

  static void requireText(String value, String what) {
    if (value == null || value.isBlank()) {
      throw new IllegalArgumentException(what + " must not be blank");
    }
  }
}
