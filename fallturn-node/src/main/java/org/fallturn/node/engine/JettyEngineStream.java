package org.fallturn.node.engine;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.concurrent.CancellationException;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.request.AttemptFailure;
import org.fallturn.node.engine.ServerSentEventParser.EventTooLongException;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Reads one engine stream by Jetty's asynchronous demand: one network read at a time, the next only
 * when asked for, so that a slow caller slows its own engine stream and holds no thread.
 */
final class JettyEngineStream implements EngineStream, Response.Listener {

  private static final int OK = 200;
  private static final int MAX_EVENT_BYTES = 256 * 1024;
  private static final int MAX_REFUSAL_BYTES = 16 * 1024;
  private static final Runnable NOTHING_TO_RESUME = () -> {};

  private final Request request;
  private final JsonCodec codec;
  private final SendTracker tracker;
  private final EngineStreamListener listener;
  private final ServerSentEventParser parser;
  private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();
  private final AtomicReference<Runnable> demander = new AtomicReference<>(NOTHING_TO_RESUME);
  private AttemptFailure fault;

  JettyEngineStream(
      Request request, JsonCodec codec, SendTracker tracker, EngineStreamListener listener) {
    this.request = request;
    this.codec = codec;
    this.tracker = tracker;
    this.listener = listener;
    this.parser = new ServerSentEventParser(MAX_EVENT_BYTES, this::onData);
  }

  @Override
  public void resume() {
    demander.getAndSet(NOTHING_TO_RESUME).run();
  }

  @Override
  public void abort() {
    request.abort(new CancellationException("the stream is no longer needed"));
  }

  @Override
  public void onContent(Response response, Content.Chunk chunk, Runnable demand) {
    ByteBuffer buffer = chunk.getByteBuffer();
    if (response.getStatus() != OK) {
      keepRefusal(buffer);
      demand.run();
      return;
    }
    try {
      parser.accept(buffer);
    } catch (EventTooLongException e) {
      fault = new AttemptFailure(AttemptFailure.Kind.CORRUPT, e.getMessage());
    }
    if (fault != null) {
      abort();
      return;
    }
    demander.set(demand);
    listener.onReadDone();
  }

  @Override
  public void onComplete(Result result) {
    if (fault != null) {
      listener.onFailure(fault);
    } else if (result.isFailed()) {
      listener.onFailure(EngineClient.connectionFailure(result, tracker));
    } else if (result.getResponse().getStatus() != OK) {
      int status = result.getResponse().getStatus();
      listener.onFailure(EngineClient.statusFailure(codec, status, refusal.toByteArray()));
    } else {
      listener.onEnd();
    }
  }

  private void keepRefusal(ByteBuffer buffer) {
    while (buffer.hasRemaining() && refusal.size() < MAX_REFUSAL_BYTES) {
      refusal.write(buffer.get());
    }
  }

  private void onData(byte[] bytes, int offset, int length) {
    if (fault != null) {
      return;
    }
    try {
      listener.onChunk(codec.decode(bytes, offset, length, TokenChunk.class));
    } catch (MalformedMessageException e) {
      fault = new AttemptFailure(AttemptFailure.Kind.CORRUPT, e.getMessage());
    }
  }
}
