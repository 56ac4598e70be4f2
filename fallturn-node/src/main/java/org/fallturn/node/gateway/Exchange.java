package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.MimeTypes;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.dispatch.RequestEnvelope;
import org.fallturn.core.dispatch.RequestProgress;
import org.fallturn.core.error.ErrorKind;

/**
 * One caller's request from its last byte to the last byte of its answer. The dispatch thread owns
 * its progress and its present attempt; the attempt that has an answer writes it. The caller's
 * request is completed exactly once.
 */
final class Exchange {

  private final Request request;
  private final Response response;
  private final Callback callback;
  private final CallerRequestHead head;
  private final RequestProgress progress;
  private final byte[] body;
  private final Consumer<DispatchEvent> events;
  private final GatewayState gateway;
  private final OrderedWriter writer;
  private final AtomicBoolean completed = new AtomicBoolean();
  private volatile boolean begun;
  private volatile String lastEventId = "";
  private EngineAttempt attempt;
  private boolean counted;
  private long waitingSinceNanos;

  Exchange(
      HandlerArguments caller,
      CallerRequestHead head,
      RequestProgress progress,
      byte[] body,
      Consumer<DispatchEvent> events,
      GatewayState gateway) {
    this.request = caller.request();
    this.response = caller.response();
    this.writer = new OrderedWriter(response::write);
    this.callback = caller.callback();
    this.head = head;
    this.progress = progress;
    this.body = body;
    this.events = events;
    this.gateway = gateway;
  }

  CallerRequestHead head() {
    return head;
  }

  RequestEnvelope envelope() {
    return progress.envelope();
  }

  RequestProgress progress() {
    return progress;
  }

  Request request() {
    return request;
  }

  byte[] body() {
    return body;
  }

  /** Id of the last event that was passed on; empty before one that bears an id. */
  Optional<String> lastEventId() {
    return lastEventId.isEmpty() ? Optional.empty() : Optional.of(lastEventId);
  }

  /** The attempt that has the request now; on the dispatch thread. */
  Optional<EngineAttempt> attempt() {
    return Optional.ofNullable(attempt);
  }

  void setAttempt(EngineAttempt present) {
    attempt = present;
  }

  /** It has no attempt from now on, and waits for an engine; on the dispatch thread. */
  void beginWait(long nowNanos) {
    attempt = null;
    waitingSinceNanos = nowNanos;
  }

  /** Since when it waited last; on the dispatch thread. */
  long waitingSinceNanos() {
    return waitingSinceNanos;
  }

  /** Whether its run is to be counted now: true once; on the dispatch thread. */
  boolean countOnce() {
    boolean first = !counted;
    counted = true;
    return first;
  }

  /** Tells the dispatch duty. */
  void tell(DispatchEvent event) {
    events.accept(event);
  }

  /** Begins to notice that the caller leaves. */
  void watchCaller() {
    if (endPoint() instanceof WatchedEndPoint watched) {
      watched.watch(() -> tell(new DispatchEvent.CallerGone(this)));
    }
    request.addIdleTimeoutListener(timeout -> false);
    request.addFailureListener(failure -> tell(new DispatchEvent.CallerGone(this)));
  }

  private EndPoint endPoint() {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  /** Whether the answer has ended, or was broken off. */
  boolean over() {
    return completed.get();
  }

  /** Whether any of an answer was written; a later engine's answer goes on within it. */
  boolean begun() {
    return begun;
  }

  /** Writes the head of the answer, unless one was written; later heads are dropped. */
  void beginAnswer(int status, HttpFields.Mutable headers) {
    if (begun) {
      return;
    }
    begun = true;
    response.setStatus(status);
    response.getHeaders().add(headers);
    closeWhenStopping();
  }

  /**
   * Begins an answer that is passed on in parts. Its end is marked within the bytes, also where the
   * connection is to close after it, so that one that breaks off does not look whole.
   */
  void beginParts(int status, HttpFields.Mutable headers) {
    if (request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1) {
      headers.put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
    }
    beginAnswer(status, headers);
  }

  /**
   * Passes part of the answer on. The callback is failed when the caller has gone.
   *
   * @param lastId id of the last event up to the end of this part, if one bore an id
   */
  void writePart(ByteBuffer bytes, Optional<String> lastId, Callback written) {
    if (completed.get()) {
      written.failed(new IllegalStateException("the request is over"));
      return;
    }
    lastId.ifPresent(id -> lastEventId = id);
    writer.write(false, bytes, written);
  }

  /** Ends an answer that was passed on in parts. */
  void endAnswer(EngineAttempt by) {
    finish(BufferUtil.EMPTY_BUFFER);
    tell(new DispatchEvent.Finished(this, by));
  }

  /** Passes a whole answer on. */
  void answerWhole(EngineAttempt by, int status, HttpFields.Mutable headers, byte[] content) {
    beginAnswer(status, headers);
    finish(ByteBuffer.wrap(content));
    tell(new DispatchEvent.Finished(this, by));
  }

  /**
   * Passes on the failure that an engine answered with; on the dispatch thread. Behind the events
   * of a stream that broke off it would make the stream look whole.
   */
  void passFailure(EngineAttempt from, EngineProtocol protocol) {
    if (begun) {
      breakOff();
      return;
    }
    beginAnswer(from.head().status(), protocol.answerHeaders(from.headers()));
    finish(ByteBuffer.wrap(from.wholeBody()));
  }

  /** Answers with an error of this node; on the dispatch thread. */
  void refuse(ErrorKind kind, Optional<Duration> retryAfter) {
    refuse(kind, retryAfter, "");
  }

  /**
   * Answers with an error of this node; on the dispatch thread.
   *
   * @param reason text for whoever reads the answer; empty for none
   */
  void refuse(ErrorKind kind, Optional<Duration> retryAfter, String reason) {
    if (begun) {
      breakOff();
      return;
    }
    HttpFields.Mutable headers = HttpFields.build();
    gateway.callerProtocol().addOwnAnswerHeaders(headers, head.requestId(), retryAfter);
    if (!reason.isEmpty()) {
      headers.put(HttpHeader.CONTENT_TYPE, MimeTypes.Type.TEXT_PLAIN_UTF_8.asString());
    }
    beginAnswer(kind.httpStatus(), headers);
    finish(BufferUtil.toBuffer(reason, StandardCharsets.UTF_8));
  }

  /**
   * Ends the connection, so that what was passed on does not look whole. The dispatch duty logs
   * why; the server would log any other exception with its stack trace.
   */
  void breakOff() {
    if (completed.compareAndSet(false, true)) {
      unwatch();
      endPoint().close();
      callback.failed(new EofException("the answer broke off"));
      gateway.onCompleted(body.length);
    }
  }

  private void finish(ByteBuffer last) {
    if (completed.compareAndSet(false, true)) {
      unwatch();
      try {
        writer.write(true, last, callback);
      } finally {
        gateway.onCompleted(body.length);
      }
    }
  }

  private void unwatch() {
    if (endPoint() instanceof WatchedEndPoint watched) {
      watched.unwatch();
    }
  }

  private void closeWhenStopping() {
    if (gateway.stopping()) {
      response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
    }
  }
}
