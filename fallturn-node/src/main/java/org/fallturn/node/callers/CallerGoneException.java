package org.fallturn.node.callers;

/** The exchange with the caller ends without a whole answer; its connection is closed. */
final class CallerGoneException extends Exception {

  private static final long serialVersionUID = 1L;

  CallerGoneException() {
    this("the caller is gone");
  }

  CallerGoneException(String message) {
    super(message);
  }
}
