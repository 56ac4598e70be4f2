package org.fallturn.node.gateway;

import java.io.IOException;
import org.eclipse.jetty.io.Content;

/**
 * Reads and drops what is left of the body of a request that has been answered already, then
 * completes the request. A server that closes a connection with unread bytes resets it, and the
 * caller may lose the answer. Reads by asynchronous demand; runs on one server thread at a time.
 */
final class BodyDiscarder implements Runnable {

  private final HandlerArguments caller;
  private final long maxBytes;
  private long discarded;

  /**
   * Creates a discarder.
   *
   * @param caller the answered request
   * @param maxBytes most bytes that are dropped; the connection is closed if more come
   */
  BodyDiscarder(HandlerArguments caller, long maxBytes) {
    this.caller = caller;
    this.maxBytes = maxBytes;
  }

  @Override
  public void run() {
    while (true) {
      Content.Chunk chunk = caller.request().read();
      if (chunk == null) {
        caller.request().demand(this);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        caller.callback().failed(chunk.getFailure());
        return;
      }
      discarded += chunk.remaining();
      caller.progress().onBody(chunk.remaining());
      boolean last = chunk.isLast();
      chunk.release();
      if (last) {
        caller.callback().succeeded();
        return;
      }
      if (discarded > maxBytes) {
        caller.callback().failed(new IOException("body over " + maxBytes + " bytes"));
        return;
      }
    }
  }
}
