package org.fallturn.node.engine;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.port.engine.CancelRequest;
import org.fallturn.core.port.engine.EngineRefusal;
import org.fallturn.core.port.engine.GenerateRequest;
import org.fallturn.core.port.engine.PrefillAnswer;
import org.fallturn.core.port.engine.PrefillRequest;
import org.fallturn.core.request.AttemptFailure;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends requests to model engines and tells failures before the first byte from those after it.
 * Thread-safe; never blocks.
 */
public final class EngineClient {

  private static final Logger LOG = LoggerFactory.getLogger(EngineClient.class);
  private static final int MAX_ANSWER_BYTES = 64 * 1024;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;
  private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient client;
  private final JsonCodec codec;

  /** Uses a started client that this class does not stop. */
  public EngineClient(HttpClient client, JsonCodec codec) {
    this.client = client;
    this.codec = codec;
  }

  /** Computes a prompt's KV cache; the future fails with {@link EngineCallException}. */
  public PrefillCall prefill(EngineTarget target, PrefillRequest prefill, Duration timeout) {
    Request request = post(target.address(), "/v1/prefill", codec.encode(prefill));
    request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    SendTracker tracker = new SendTracker();
    request.onRequestBegin(tracker);
    CompletableFuture<PrefillAnswer> answer = new CompletableFuture<>();
    request.send(
        new BufferingResponseListener(MAX_ANSWER_BYTES) {
          @Override
          public void onComplete(Result result) {
            finishPrefill(answer, result, getContent(), tracker);
          }
        });
    return new PrefillCall(answer, request);
  }

  /** Opens a stream of tokens. */
  public EngineStream generate(
      EngineTarget target, GenerateRequest generate, EngineStreamListener listener) {
    Request request = post(target.address(), "/v1/generate", codec.encode(generate));
    SendTracker tracker = new SendTracker();
    request.onRequestBegin(tracker);
    JettyEngineStream stream = new JettyEngineStream(request, codec, tracker, listener);
    request.send(stream);
    return stream;
  }

  /** Tells an engine to stop working on a request; best effort. */
  public void cancel(NetworkAddress engine, RequestId requestId) {
    Request request = post(engine, "/v1/cancel", codec.encode(new CancelRequest(requestId)));
    request.timeout(CANCEL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    request.send(
        result -> {
          if (result.isFailed()) {
            LOG.debug("engine: Cancel of {} at {} failed.", requestId, engine);
          }
        });
  }

  private Request post(NetworkAddress address, String path, byte[] body) {
    return client
        .newRequest("http://" + address + path)
        .method(HttpMethod.POST)
        .body(new BytesRequestContent("application/json", body));
  }

  private void finishPrefill(
      CompletableFuture<PrefillAnswer> answer, Result result, byte[] content, SendTracker tracker) {
    if (result.isFailed()) {
      answer.completeExceptionally(
          new EngineCallException(connectionFailure(result, tracker), result.getFailure()));
      return;
    }
    int status = result.getResponse().getStatus();
    if (status != OK) {
      answer.completeExceptionally(
          new EngineCallException(statusFailure(codec, status, content), null));
      return;
    }
    try {
      answer.complete(codec.decode(content, PrefillAnswer.class));
    } catch (MalformedMessageException e) {
      AttemptFailure failure = new AttemptFailure(AttemptFailure.Kind.CORRUPT, e.getMessage());
      answer.completeExceptionally(new EngineCallException(failure, e));
    }
  }

  /** What a connection that failed says of the work. */
  static AttemptFailure connectionFailure(Result result, SendTracker tracker) {
    AttemptFailure.Kind kind =
        tracker.mayHaveBeenSent() ? AttemptFailure.Kind.BROKEN : AttemptFailure.Kind.NOT_SENT;
    return new AttemptFailure(kind, "the connection to the engine failed: " + result.getFailure());
  }

  /** What an error status says of the work. */
  static AttemptFailure statusFailure(JsonCodec codec, int status, byte[] content) {
    if (status != CONFLICT && status != UNAVAILABLE) {
      return new AttemptFailure(
          AttemptFailure.Kind.BROKEN, "the engine answered with status " + status);
    }
    try {
      String text = new String(content, StandardCharsets.UTF_8);
      EngineRefusal refusal = codec.decode(text, EngineRefusal.class);
      AttemptFailure.Kind kind =
          refusal.reason() == EngineRefusal.Reason.MALFORMED
              ? AttemptFailure.Kind.MALFORMED
              : AttemptFailure.Kind.REFUSED;
      return new AttemptFailure(
          kind, "the engine refused: " + refusal.reason() + ", " + refusal.message());
    } catch (MalformedMessageException e) {
      return new AttemptFailure(
          AttemptFailure.Kind.BROKEN, "the engine answered " + status + " without a reason");
    }
  }
}
