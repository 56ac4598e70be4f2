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
   * Answer header: the engine's answer ends with its connection, and nothing else tells its end.
   * The value is {@link #CONFIRMED_BEFORE_END} where the node that forwards ends the answer only
   * once it has confirmed that it is whole; earlier builds do not.
   */
  static final String END_UNMARKED = "Fallturn-Forward-End-Unmarked";

  /** Value of {@link #END_UNMARKED}. */
  static final String CONFIRMED_BEFORE_END = "confirmed";

  private ForwardingHeaders() {}
}
