package org.fallturn.node.gateway;

/**
 * Aborts a request in place of sending it. Only listeners to its begin may throw it or abort with
 * it: the HTTP client then certainly writes nothing, which no abort from another thread promises.
 */
abstract class WithheldException extends Exception {

  private static final long serialVersionUID = 1L;

  WithheldException(String message) {
    // One is created for each request that is withheld, and nobody reads where.
    super(message, null, false, false);
  }
}
