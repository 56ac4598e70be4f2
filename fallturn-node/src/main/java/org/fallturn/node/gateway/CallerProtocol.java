package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.fallturn.core.error.FallturnException;

/**
 * Port to the header format of callers' requests and answers. Implementations are thread-safe and
 * only translate: they make no decisions.
 */
public interface CallerProtocol {

  /**
   * Parses the head of a request.
   *
   * @throws FallturnException INVALID_REQUEST naming the header that is wrong
   */
  CallerRequestHead readHead(Request request) throws FallturnException;

  /**
   * Adds the headers of an answer that this node generates itself instead of relaying an engine's.
   *
   * @param headers headers to add to
   * @param requestId id of the request; empty when unknown
   * @param retryAfter time after which the caller may retry; empty for no such header
   */
  void addOwnAnswerHeaders(
      HttpFields.Mutable headers, String requestId, Optional<Duration> retryAfter);
}
