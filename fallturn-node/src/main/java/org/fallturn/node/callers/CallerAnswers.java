package org.fallturn.node.callers;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.idempotency.StoredAnswer;
import org.fallturn.node.http.HttpAnswers;
import org.fallturn.node.json.JsonCodec;

/** Error answers of the callers' door, each with its request's id. Thread-safe. */
final class CallerAnswers {

  private static final String REQUEST_ID_HEADER = "X-Request-Id";
  private static final String REPLAYED_HEADER = "Idempotent-Replayed";

  private final HttpAnswers answers;

  CallerAnswers(JsonCodec codec) {
    this.answers = new HttpAnswers(codec);
  }

  /** Puts the request id into the answer's headers. */
  void putRequestId(CallerRequest caller) {
    caller.response().getHeaders().put(REQUEST_ID_HEADER, caller.requestId().value());
  }

  /** Writes a JSON answer. */
  void json(CallerRequest caller, Object body) {
    putRequestId(caller);
    answers.json(caller.response(), HttpStatus.OK_200, body, caller.callback());
  }

  /** Writes an answer that is JSON already. */
  void jsonBytes(CallerRequest caller, byte[] body) {
    putRequestId(caller);
    caller.response().setStatus(HttpStatus.OK_200);
    caller.response().getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    caller.response().write(true, ByteBuffer.wrap(body), caller.callback());
  }

  /** Writes the answer that an earlier request got. */
  void stored(CallerRequest caller, StoredAnswer answer) {
    putRequestId(caller);
    caller.response().setStatus(answer.status());
    if (!answer.contentType().isEmpty()) {
      caller.response().getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
    }
    caller.response().getHeaders().put(REPLAYED_HEADER, "true");
    caller.response().write(true, ByteBuffer.wrap(answer.body()), caller.callback());
  }

  /** Writes an error answer. */
  void error(CallerRequest caller, FallturnException error) {
    putRequestId(caller);
    answers.error(caller.response(), error, caller.requestId().value(), caller.callback());
  }
}
