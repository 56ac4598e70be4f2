package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
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
import org.fallturn.core.dispatch.ErrorAnswer;
import org.fallturn.core.dispatch.RequestEnvelope;
import org.fallturn.core.dispatch.RequestProgress;

/**
 * One caller's request and its answer, from the last byte of the request body to the last byte of
 * the answer. Only the dispatch thread touches the progress and sets the current attempt; the
 * attempt that receives an answer writes it, on its client thread. The Jetty callback of the
 * request is completed exactly once.
 *
 * <p>Invariant: once the caller is known to have left, or no time is left for an answer, no attempt
 * begins to be sent. Any thread may ask for that, since the dispatch thread may be late.
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
  private final AtomicReference<AnswerForm> answer = new AtomicReference<>(AnswerForm.NONE);
  private volatile String lastEventId = "";
  private volatile boolean callerGone;
  private volatile EngineAttempt attempt;
  private boolean counted;
  private long waitingSinceNanos;

  /** Which answer the caller gets; whoever sets it first writes the head. */
  private enum AnswerForm {
    /** None has begun. */
    NONE,
    /** One that is relayed in parts, which a later engine may continue. */
    IN_PARTS,
    /** One that is written in one piece, by one thread. */
    WHOLE
  }

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

  /** Id of the last server-sent event that was relayed; empty while none had an id. */
  Optional<String> lastEventId() {
    return lastEventId.isEmpty() ? Optional.empty() : Optional.of(lastEventId);
  }

  /** The current attempt, if any. */
  Optional<EngineAttempt> attempt() {
    return Optional.ofNullable(attempt);
  }

  void setAttempt(EngineAttempt current) {
    releaseAnswer();
    attempt = current;
  }

  private void releaseAnswer() {
    attempt().ifPresent(EngineAttempt::releaseAnswer);
  }

  /** Drops the current attempt and starts waiting for an engine; call on the dispatch thread. */
  void beginWait(long nowNanos) {
    setAttempt(null);
    waitingSinceNanos = nowNanos;
  }

  /** When the last wait for an engine began, in nanoTime; call on the dispatch thread. */
  long waitingSinceNanos() {
    return waitingSinceNanos;
  }

  /** True on the first call only, so that a run is counted once; call on the dispatch thread. */
  boolean countOnce() {
    boolean first = !counted;
    counted = true;
    return first;
  }

  /** Posts an event to the dispatch duty. */
  void post(DispatchEvent event) {
    events.accept(event);
  }

  /**
   * Starts to watch the connection. When it ends, the current attempt is withdrawn at once, and
   * {@link DispatchEvent.CallerGone} posted.
   */
  void watchForDisconnect() {
    if (endPoint() instanceof WatchedEndPoint watched) {
      watched.setRequestId(head.requestId());
      watched.watch(this::onCallerGone);
    }
    request.addIdleTimeoutListener(timeout -> false);
    request.addFailureListener(failure -> onCallerGone());
  }

  private void onCallerGone() {
    callerGone = true;
    EngineAttempt current = attempt;
    if (current != null) {
      current.withdraw();
    }
    post(new DispatchEvent.CallerGone(this));
  }

  /** Time in ns that is left for an answer: the caller's, or that of this process if it stops. */
  long remainingNanos(long nowNanos) {
    return Math.min(envelope().remainingNanos(nowNanos), gateway.remainingNanos(nowNanos));
  }

  /** Why no engine is to answer any more, as far as is known; empty while one may. */
  Optional<RequestEnd> end(long nowNanos) {
    if (callerGone) {
      return Optional.of(RequestEnd.CALLER_GONE);
    }
    if (gateway.remainingNanos(nowNanos) <= 0) {
      return Optional.of(RequestEnd.NODE_STOPS);
    }
    return envelope().remainingNanos(nowNanos) <= 0
        ? Optional.of(RequestEnd.TIME_OVER)
        : Optional.empty();
  }

  /**
   * As {@link #end}, but looks at the connection itself: a process that stood still has yet to be
   * told that the caller closed it.
   */
  Optional<RequestEnd> checkEnd(long nowNanos) {
    if (!callerGone && endPoint() instanceof WatchedEndPoint watched) {
      watched.checkDisconnect();
    }
    return end(nowNanos);
  }

  private EndPoint endPoint() {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  /** Whether the answer has ended or was aborted. */
  boolean isCompleted() {
    return completed.get();
  }

  private void writeHead(int status, HttpFields.Mutable headers) {
    response.setStatus(status);
    response.getHeaders().add(headers);
    closeWhenStopping();
  }

  /**
   * Begins an answer that is relayed in parts, unless an answer has begun already. HTTP/1.1 answers
   * are always chunked, even when the connection closes afterwards: without the final chunk a
   * truncated answer would look complete.
   */
  void beginStreamedAnswer(int status, HttpFields.Mutable headers) {
    if (!answer.compareAndSet(AnswerForm.NONE, AnswerForm.IN_PARTS)) {
      return;
    }
    if (request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1) {
      headers.put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
    }
    writeHead(status, headers);
  }

  /**
   * Relays a part of the answer to the caller. The callback fails when the caller has gone.
   *
   * @param lastId id of the last event up to the end of this part, if any had one
   * @param written completed when the part was written
   */
  void writePart(ByteBuffer bytes, Optional<String> lastId, Callback written) {
    if (completed.get() || answer.get() != AnswerForm.IN_PARTS) {
      written.failed(new IllegalStateException("the request is over"));
      return;
    }
    lastId.ifPresent(id -> lastEventId = id);
    writer.write(false, bytes, written);
  }

  /** Ends an answer that was relayed in parts. */
  void endAnswer(EngineAttempt by) {
    if (answer.get() == AnswerForm.IN_PARTS) {
      finish(BufferUtil.EMPTY_BUFFER);
    }
    post(new DispatchEvent.Finished(this, by));
  }

  /** Writes a complete answer in one piece, unless an answer has begun already. */
  void answerWhole(EngineAttempt by, int status, HttpFields.Mutable headers, byte[] content) {
    if (answer.compareAndSet(AnswerForm.NONE, AnswerForm.WHOLE)) {
      writeWhole(status, headers, ByteBuffer.wrap(content));
    }
    post(new DispatchEvent.Finished(this, by));
  }

  /** Whoever has begun a whole answer ends the request, whatever fails at that. */
  private void writeWhole(int status, HttpFields.Mutable headers, ByteBuffer content) {
    try {
      writeHead(status, headers);
      finish(content);
    } catch (RuntimeException | Error failure) {
      abort();
      throw failure;
    }
  }

  /**
   * Answers in one piece in place of an engine's success. When part of an answer was relayed
   * already, aborts instead, since this would make it look complete; a whole answer that another
   * thread is writing is left to it.
   */
  private void answerInstead(int status, HttpFields.Mutable headers, ByteBuffer content) {
    if (answer.compareAndSet(AnswerForm.NONE, AnswerForm.WHOLE)) {
      writeWhole(status, headers, content);
    } else if (answer.get() == AnswerForm.IN_PARTS) {
      abort();
    }
  }

  /** Relays the failure that an engine answered with; call on the dispatch thread. */
  void relayEngineFailure(EngineAttempt failed, EngineProtocol protocol) {
    answerInstead(
        failed.head().status(),
        protocol.answerHeaders(failed.headers()),
        ByteBuffer.wrap(failed.bufferedBody()));
  }

  /**
   * Answers with an error that this node generates; call on the dispatch thread.
   *
   * @param reason plain text body for people; empty for none
   */
  void refuse(ErrorAnswer error, String reason) {
    HttpFields.Mutable headers = HttpFields.build();
    gateway.callerProtocol().addOwnAnswerHeaders(headers, head.requestId(), error.retryAfter());
    if (!reason.isEmpty()) {
      headers.put(HttpHeader.CONTENT_TYPE, MimeTypes.Type.TEXT_PLAIN_UTF_8.asString());
    }
    answerInstead(
        error.kind().httpStatus(), headers, BufferUtil.toBuffer(reason, StandardCharsets.UTF_8));
  }

  /**
   * Closes the connection, so that a truncated answer does not look complete. The callback fails
   * with an EofException, since Jetty would log any other exception with its stack trace; the
   * dispatch duty logs the reason.
   */
  void abort() {
    if (completed.compareAndSet(false, true)) {
      unwatch();
      closeConnection();
      callback.failed(new EofException("the answer broke off"));
      gateway.bodies().release(body.length);
      releaseAnswer();
    }
  }

  private void closeConnection() {
    if (endPoint() instanceof WatchedEndPoint watched) {
      watched.abort();
    } else {
      endPoint().close();
    }
  }

  private void finish(ByteBuffer last) {
    if (completed.compareAndSet(false, true)) {
      unwatch();
      try {
        writer.write(true, last, Callback.from(callback, this::releaseAnswer));
      } finally {
        gateway.bodies().release(body.length);
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
