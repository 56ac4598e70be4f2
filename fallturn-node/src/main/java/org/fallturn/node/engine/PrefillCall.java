package org.fallturn.node.engine;

import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Request;
import org.fallturn.core.port.engine.PrefillAnswer;

/**
 * A prefill in progress. Thread-safe.
 *
 * @param answer completes with the answer or fails with {@link EngineCallException}
 * @param request the exchange behind it
 */
public record PrefillCall(CompletableFuture<PrefillAnswer> answer, Request request) {

  /** Drops the exchange and its connection. */
  public void abort() {
    request.abort(new CancellationException("the prefill is no longer needed"));
  }
}
