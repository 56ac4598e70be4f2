package org.fallturn.node.callers;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.port.engine.TokenChunk.Finish;
import org.fallturn.node.http.ErrorBody;

/**
 * An answer as server-sent events. One write is in progress at a time; what comes meanwhile is
 * gathered and goes out with the next one. The status is not sent before the first token, so that
 * an early failure still gets its own status.
 */
final class StreamedAnswer implements AnswerSink {

  private final CallerRequest caller;
  private final CompletionFormat format;
  private final CallerServices services;
  private final SerialExecutor executor;
  private final Listener listener;
  private final ByteArrayOutputStream gathered = new ByteArrayOutputStream();
  private boolean started;
  private boolean writing;
  private boolean last;
  private boolean abandoned;

  /** Hears what becomes of the writes. Called within the request's executor. */
  interface Listener {
    /** There is room again. */
    void onDrained();

    /** The caller cannot be reached any more. */
    void onCallerGone();
  }

  StreamedAnswer(
      CallerRequest caller,
      CompletionFormat format,
      CallerServices services,
      SerialExecutor executor,
      Listener listener) {
    this.caller = caller;
    this.format = format;
    this.services = services;
    this.executor = executor;
    this.listener = listener;
  }

  @Override
  public void append(List<String> tokens, Finish finish) {
    if (abandoned) {
      return;
    }
    start();
    format.appendEvent(gathered, tokens, finish);
  }

  private void start() {
    if (started) {
      return;
    }
    started = true;
    Response response = caller.response();
    response.setStatus(HttpStatus.OK_200);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
    services.answers().putRequestId(caller);
  }

  @Override
  public void flush() {
    boolean nothing = gathered.size() == 0 && !last;
    if (writing || nothing || abandoned) {
      return;
    }
    writing = true;
    ByteBuffer buffer = ByteBuffer.wrap(gathered.toByteArray());
    gathered.reset();
    if (last) {
      caller.response().write(true, buffer, caller.callback());
      return;
    }
    caller
        .response()
        .write(
            false,
            buffer,
            Callback.from(
                () -> executor.execute(this::onWritten),
                failure -> executor.execute(this::onFailed)));
  }

  private void onWritten() {
    writing = false;
    if (abandoned) {
      caller.callback().failed(new CallerGoneException());
      return;
    }
    flush();
    if (!isFull()) {
      listener.onDrained();
    }
  }

  private void onFailed() {
    abandoned = true;
    if (!last) {
      listener.onCallerGone();
    }
    caller.callback().failed(new CallerGoneException());
  }

  @Override
  public boolean isFull() {
    return !abandoned && gathered.size() >= services.settings().callerBufferBytes();
  }

  @Override
  public void complete() {
    if (abandoned) {
      return;
    }
    start();
    CompletionFormat.appendDone(gathered);
    last = true;
    flush();
  }

  @Override
  public void fail(FallturnException error) {
    if (abandoned) {
      return;
    }
    if (!started) {
      last = true;
      writing = true;
      services.answers().error(caller, error);
      return;
    }
    byte[] body =
        services
            .codec()
            .encode(ErrorBody.of(error.kind(), error.getMessage(), caller.requestId().value()));
    CompletionFormat.appendError(gathered, body);
    last = true;
    flush();
  }

  /** A write in progress ends the exchange when it is over. */
  @Override
  public void abandon() {
    if (abandoned) {
      return;
    }
    abandoned = true;
    if (!writing) {
      caller.callback().failed(new CallerGoneException());
    }
  }
}
