package org.fallturn.node.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Sends JSON messages over a shared Jetty client. Thread-safe. Futures complete on a client thread
 * and fail with {@link RemoteCallException}; every call has a timeout.
 */
public final class JsonHttpClient {

  private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
  private static final byte[] NO_BODY = {};
  private static final int OK_FROM = 200;
  private static final int OK_BELOW = 300;

  private final HttpClient client;
  private final JsonCodec codec;
  private final Optional<MessageAuthenticator> authenticator;

  /** Uses a started client. */
  public JsonHttpClient(HttpClient client, JsonCodec codec) {
    this(client, codec, Optional.empty());
  }

  /** Uses a started client, and signs messages to peers. */
  public JsonHttpClient(
      HttpClient client, JsonCodec codec, Optional<MessageAuthenticator> authenticator) {
    this.client = client;
    this.codec = codec;
    this.authenticator = authenticator;
  }

  /** The Jetty client, for streams. */
  public HttpClient jettyClient() {
    return client;
  }

  /** Posts a message and reads the answer. */
  public <A> CompletableFuture<A> post(
      NetworkAddress address, String path, Object body, Class<A> answerType, Duration timeout) {
    Request request = client.newRequest(uri(address, path)).method(HttpMethod.POST);
    byte[] content = codec.encode(body);
    request.body(new BytesRequestContent("application/json", content));
    sign(request, path, content);
    return send(request, answerType, timeout);
  }

  /** Gets a document. */
  public <A> CompletableFuture<A> get(
      NetworkAddress address, String path, Class<A> answerType, Duration timeout) {
    Request request = client.newRequest(uri(address, path)).method(HttpMethod.GET);
    sign(request, path, NO_BODY);
    return send(request, answerType, timeout);
  }

  private void sign(Request request, String path, byte[] body) {
    if (authenticator.isPresent() && path.startsWith(MessageAuthenticator.PEER_PATHS)) {
      String proof = authenticator.get().sign(path, body);
      request.headers(headers -> headers.put(MessageAuthenticator.HEADER, proof));
    }
  }

  /** Waits for a call; for duty threads that own blocking traffic. */
  public static <A> A await(CompletableFuture<A> call) throws RemoteCallException {
    try {
      return call.get();
    } catch (ExecutionException e) {
      if (e.getCause() instanceof RemoteCallException known) {
        throw known;
      }
      throw new RemoteCallException(
          "the call failed: " + e.getCause(), RemoteCallException.NO_STATUS, "", e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RemoteCallException(
          "interrupted while waiting for an answer", RemoteCallException.NO_STATUS, "", e);
    }
  }

  private static String uri(NetworkAddress address, String path) {
    return "http://" + address + path;
  }

  private <A> CompletableFuture<A> send(Request request, Class<A> answerType, Duration timeout) {
    CompletableFuture<A> future = new CompletableFuture<>();
    request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    request.send(
        new BufferingResponseListener(MAX_ANSWER_BYTES) {
          @Override
          public void onComplete(Result result) {
            complete(future, result, getContent(), answerType);
          }
        });
    return future;
  }

  private <A> void complete(
      CompletableFuture<A> future, Result result, byte[] content, Class<A> answerType) {
    String target = result.getRequest().getURI().toString();
    if (result.isFailed()) {
      future.completeExceptionally(
          new RemoteCallException(
              "no answer from " + target + ": " + result.getFailure(),
              RemoteCallException.NO_STATUS,
              "",
              result.getFailure()));
      return;
    }
    int status = result.getResponse().getStatus();
    byte[] body = content == null ? new byte[0] : content;
    if (status < OK_FROM || status >= OK_BELOW) {
      future.completeExceptionally(
          new RemoteCallException(
              target + " answered " + status,
              status,
              new String(body, StandardCharsets.UTF_8),
              null));
      return;
    }
    try {
      future.complete(codec.decode(body, answerType));
    } catch (MalformedMessageException e) {
      future.completeExceptionally(
          new RemoteCallException(target + " sent " + e.getMessage(), status, "", e));
    }
  }
}
