package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.fallturn.core.error.FallturnException;

/** Port: how callers write requests and read answers. Thread-safe; decides nothing. */
public interface CallerProtocol {

  /**
   * Reads a request's head.
   *
   * @throws FallturnException INVALID_REQUEST naming the header that is wrong
   */
  CallerRequestHead readHead(Request request) throws FallturnException;

  /** Headers of an answer that this node gives itself. */
  void addOwnAnswerHeaders(
      HttpFields.Mutable headers, String requestId, Optional<Duration> retryAfter);
}
