package org.fallturn.node.callers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.port.engine.CancelRequest;
import org.fallturn.core.port.engine.EngineRefusal;
import org.fallturn.core.port.engine.GenerateRequest;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.PrefillRequest;
import org.fallturn.core.port.engine.TokenChunk;
import org.fallturn.core.port.engine.TokenChunk.Finish;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.json.JsonCodec;

/** An engine whose every generate call follows a script; without one it answers whole. */
final class ScriptedEngine implements AutoCloseable {

  private static final int MAX_BYTES = 4 * 1024 * 1024;

  /** What one generate call does. */
  interface Script {
    void run(GenerateRequest request, Answer answer) throws Exception;
  }

  final List<GenerateRequest> generated = new CopyOnWriteArrayList<>();
  final List<PrefillRequest> prefilled = new CopyOnWriteArrayList<>();
  final List<RequestId> cancelled = new CopyOnWriteArrayList<>();
  private final Queue<Script> scripts = new ConcurrentLinkedQueue<>();
  private final JsonCodec codec = new JsonCodec();
  private final EngineId id;
  private final HttpListener listener;

  ScriptedEngine(String name) throws Exception {
    id = new EngineId(name);
    HttpRouter router = new HttpRouter(codec);
    router.route("POST", "/v1/prefill", this::prefill);
    router.route("POST", "/v1/generate", this::generate);
    router.route("POST", "/v1/cancel", this::cancel);
    listener = new HttpListener(name, new NetworkAddress("127.0.0.1", 0), 16, router);
  }

  EngineTarget target() {
    return new EngineTarget(id, listener.address());
  }

  ScriptedEngine next(Script script) {
    scripts.add(script);
    return this;
  }

  /** The token every whole answer has at an index. */
  static String token(int index) {
    return " t" + index;
  }

  /** The whole answer of a given length. */
  static String text(int count) {
    return String.join("", tokens(0, count));
  }

  static List<String> tokens(int from, int to) {
    List<String> tokens = new ArrayList<>();
    for (int index = from; index < to; index++) {
      tokens.add(token(index));
    }
    return tokens;
  }

  /** Answers from the start offset to the token limit, one token a chunk. */
  static void whole(GenerateRequest request, Answer answer) throws Exception {
    for (int index = request.startOffset(); index < request.maxTokens(); index++) {
      boolean last = index + 1 == request.maxTokens();
      answer.chunk(index, index + 1, last ? Finish.LENGTH : Finish.NONE);
    }
    answer.end();
  }

  private void prefill(Request request, Response response, Callback callback) throws Exception {
    PrefillRequest prefill =
        codec.decode(HttpRouter.read(request, MAX_BYTES), PrefillRequest.class);
    prefilled.add(prefill);
    PrefillAnswer answer = new PrefillAnswer(prefill.requestId(), "kv", 1, 0, 1);
    response.write(true, ByteBuffer.wrap(codec.encode(answer)), callback);
  }

  private void generate(Request request, Response response, Callback callback) throws Exception {
    GenerateRequest generate =
        codec.decode(HttpRouter.read(request, MAX_BYTES), GenerateRequest.class);
    generated.add(generate);
    Script script = scripts.poll();
    Answer answer = new Answer(generate, response, callback);
    if (script == null) {
      whole(generate, answer);
    } else {
      script.run(generate, answer);
    }
  }

  private void cancel(Request request, Response response, Callback callback) throws Exception {
    cancelled.add(
        codec.decode(HttpRouter.read(request, MAX_BYTES), CancelRequest.class).requestId());
    callback.succeeded();
  }

  @Override
  public void close() throws Exception {
    listener.close();
  }

  /** One answer being written, blocking. */
  final class Answer {
    private final GenerateRequest request;
    private final Response response;
    private final Callback callback;

    Answer(GenerateRequest request, Response response, Callback callback) {
      this.request = request;
      this.response = response;
      this.callback = callback;
    }

    Answer chunk(int from, int to, Finish finish) throws Exception {
      return send(new TokenChunk(request.requestId(), from, tokens(from, to), finish));
    }

    Answer send(TokenChunk chunk) throws Exception {
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
      String event = "data: " + codec.encodeText(chunk) + "\n\n";
      Callback.Completable written = new Callback.Completable();
      response.write(false, ByteBuffer.wrap(event.getBytes(StandardCharsets.UTF_8)), written);
      try {
        written.get();
      } catch (ExecutionException e) {
        callback.failed(e.getCause());
        throw e;
      }
      return this;
    }

    void end() {
      response.write(true, ByteBuffer.allocate(0), callback);
    }

    void crash() {
      response.getRequest().getConnectionMetaData().getConnection().getEndPoint().close();
      callback.failed(new IllegalStateException("scripted crash"));
    }

    void refuse(EngineRefusal.Reason reason) {
      response.setStatus(503);
      EngineRefusal refusal = new EngineRefusal(reason, "scripted");
      response.write(true, ByteBuffer.wrap(codec.encode(refusal)), callback);
    }

    /** Leaves the stream open and silent. */
    void hang() {
      // The connection ends when the test closes the engine.
    }
  }
}
