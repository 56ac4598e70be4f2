package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.error.ErrorKind;

/**
 * Answers requests that the server itself fails. The server takes whatever is thrown while it reads
 * a head for a fault of the head; an error of this process, such as memory that is used up, is none
 * of the caller's, who is told to come back. Thread-safe.
 */
final class FailedHeadHandler extends ErrorHandler {

  private static final ErrorKind KIND = ErrorKind.NO_CAPACITY;
  private static final Duration RETRY_AFTER = Duration.ofMillis(300);
  private static final String NO_ID = "";

  private final CallerProtocol protocol;
  private final DecisionLog log;

  FailedHeadHandler(CallerProtocol protocol, DecisionLog log) {
    this.protocol = protocol;
    this.log = log;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    if (!isOfThisProcess(request.getAttribute(ERROR_EXCEPTION))) {
      return super.handle(request, response, callback);
    }
    log.refusedAtDoor(NO_ID, KIND, "this node failed to read the head");
    response.setStatus(KIND.httpStatus());
    protocol.addOwnAnswerHeaders(response.getHeaders(), NO_ID, Optional.of(RETRY_AFTER));
    response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    response.write(true, BufferUtil.EMPTY_BUFFER, callback);
    return true;
  }

  /** Only a head that was not turned into a request fails with this exception. */
  private static boolean isOfThisProcess(Object failure) {
    return failure instanceof BadMessageException head && head.getCause() instanceof Error;
  }
}
