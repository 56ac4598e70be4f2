package org.fallturn.node.gateway;

/** A request was not sent, since nobody waits for its answer any more. */
final class RequestOverException extends WithheldException {

  private static final long serialVersionUID = 1L;

  RequestOverException(RequestEnd end) {
    super("nobody waits for the answer: " + end);
  }
}
