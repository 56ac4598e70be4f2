package org.fallturn.node.gateway;

/** Headers between a node and the one that forwards its requests; engines never see them. */
final class ForwardingHeaders {

  /** Request header: id of the engine that the request is for. */
  static final String ENGINE = "Fallturn-Forward-To";

  /** Request header: a key, unique to the attempt, by which it can be cancelled. */
  static final String KEY = "Fallturn-Forward-Key";

  /**
   * Request header: address of the node that asks. It is asked which of its requests it still waits
   * for; without it, a request goes on until its connection ends.
   */
  static final String OWNER = "Fallturn-Forward-Owner";

  /** Answer header: what became of the request, see {@link ForwardingResult}. */
  static final String RESULT = "Fallturn-Forward-Result";

  /**
   * Answer header: the engine's answer ended with its connection, and nothing else told its end.
   */
  static final String END_UNMARKED = "Fallturn-Forward-End-Unmarked";

  private ForwardingHeaders() {}
}
