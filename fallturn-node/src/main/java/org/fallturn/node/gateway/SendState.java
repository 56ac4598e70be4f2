package org.fallturn.node.gateway;

import org.eclipse.jetty.client.Request;

/**
 * Whether a request has begun to be sent, and on which connection. Registered as the last begin
 * listener, so that a request which an earlier one withholds counts as not sent. One that another
 * thread aborts meanwhile may be sent: the client notes the abort first and carries it out later. A
 * client thread writes; any thread reads.
 *
 * <p>Invariant: what can fail, as for want of memory, comes after the note that the request may be
 * sent: the client sends it although a listener has failed.
 */
final class SendState implements Request.BeginListener {

  private volatile boolean maybeSent;
  private volatile long sentNanos;
  private volatile String connection = "";

  @Override
  public void onBegin(Request begun) {
    if (!(begun.getAbortCause() instanceof WithheldException)) {
      sentNanos = System.nanoTime();
      maybeSent = true;
      connection = LogTexts.connection(begun);
    }
  }

  /**
   * Returns a check after whose failure the request is not sent. The HTTP client only logs what a
   * listener throws.
   */
  static Request.BeginListener orAbort(Request.BeginListener check) {
    return begun -> {
      try {
        check.onBegin(begun);
      } catch (RuntimeException | Error failure) {
        begun.abort(failure);
        throw failure;
      }
    };
  }

  /** Whether any byte of the request may have left. */
  boolean maybeSent() {
    return maybeSent;
  }

  /** When it began to be sent, in nanoTime; 0 while it was not. */
  long sentNanos() {
    return sentNanos;
  }

  /** Local address of the connection that it was sent on; empty while it was not sent. */
  String connection() {
    return connection;
  }
}
