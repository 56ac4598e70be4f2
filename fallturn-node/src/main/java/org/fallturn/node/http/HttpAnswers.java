package org.fallturn.node.http;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.node.json.JsonCodec;

/** Writes JSON and error answers. Thread-safe. */
public final class HttpAnswers {

  private static final String JSON_TYPE = "application/json";
  private static final String AUTHENTICATION_SCHEME = "Bearer";
  private static final String CHALLENGE = "Bearer";
  private static final long MILLIS_PER_SECOND = 1000;

  private final JsonCodec codec;

  /** Answers written by the given codec. */
  public HttpAnswers(JsonCodec codec) {
    this.codec = codec;
  }

  /** Writes a JSON answer and completes the callback. */
  public void json(Response response, int status, Object body, Callback callback) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, JSON_TYPE);
    response.write(true, ByteBuffer.wrap(codec.encode(body)), callback);
  }

  /** Writes the error answer for an exception and completes the callback. */
  public void error(
      Response response, FallturnException error, String requestId, Callback callback) {
    ErrorKind kind = error.kind();
    if (kind.hasRetryAfter() || error.retryAfter().isPresent()) {
      long millis = error.retryAfter().map(java.time.Duration::toMillis).orElse(MILLIS_PER_SECOND);
      long seconds = Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
      response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds);
    }
    if (kind == ErrorKind.UNAUTHENTICATED) {
      response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, CHALLENGE);
    }
    if (kind == ErrorKind.UNAUTHENTICATED) {
      response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, AUTHENTICATION_SCHEME);
    }
    json(response, kind.httpStatus(), ErrorBody.of(kind, error.getMessage(), requestId), callback);
  }
}
