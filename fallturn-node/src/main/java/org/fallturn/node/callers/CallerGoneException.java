package org.fallturn.node.callers;

/** The caller's connection failed before its answer was written. */
final class CallerGoneException extends Exception {

  private static final long serialVersionUID = 1L;

  CallerGoneException() {
    super("the caller is gone");
  }
}
