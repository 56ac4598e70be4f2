package org.fallturn.rehearsal.emulator;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.fallturn.core.domain.NetworkAddress;

/** A client of the platform. Thread-safe. */
public final class EmulatedClient implements AutoCloseable {

  /** The longest that a call is waited for. */
  public static final Duration LONGEST = Duration.ofSeconds(20);

  /** The part with which all prompts of {@link #send} begin. */
  public static final String FIRST_PART = "aa";

  /** Header that tells which try of its request a call is. */
  public static final String TRY = "X-Rehearsal-Try";

  private static final String DEADLINE = "X-Fallturn-Deadline-Ms";
  private static final int SHARED_PART_TOKENS = 100;

  private final HttpClient client = new HttpClient();
  private final AtomicLong number = new AtomicLong();
  private volatile HttpFields ownHeaders = HttpFields.EMPTY;

  /**
   * Starts it. Like the platform's clients, it uses no connection again that has been idle for over
   * four fifths of what gateways allow: they might be closing it.
   */
  public EmulatedClient() throws Exception {
    client.setIdleTimeout(RouteText.IDLE_TIMEOUT.multipliedBy(4).dividedBy(5).toMillis());
    client.start();
  }

  /**
   * What came back.
   *
   * @param requestId the id that was sent
   * @param status HTTP status; 0 when the connection broke off
   * @param headers headers of the answer
   * @param body its body, as far as it came
   * @param whole whether the answer was whole
   */
  public record Answer(
      String requestId, int status, HttpFields headers, String body, boolean whole) {

    /** The engine that gave the answer, where the answer says that it leaves. */
    public Optional<String> leavingEngine() {
      boolean leaves = "1".equals(headers.get(EmulatedEngine.LEAVING));
      return leaves
          ? Optional.ofNullable(headers.get(EmulatedEngine.STAMP))
              .map(stamp -> stamp.substring(EmulatedEngine.STAMP_PREFIX.length()))
          : Optional.empty();
    }
  }

  /** A request that is under way. */
  public record Call(String requestId, Request request, CompletableFuture<Answer> answer) {

    /** Waits for its answer. */
    public Answer await() throws InterruptedException, ExecutionException {
      return answer.join();
    }

    /** Closes the connection, as a client that leaves. */
    public void leave() {
      request.abort(new IllegalStateException("the client leaves"));
    }
  }

  /** Sends these headers with each request from now on, beside those that every request has. */
  public void setHeaders(HttpFields headers) {
    ownHeaders = headers.asImmutable();
  }

  /** Sends a request and waits for its answer. */
  public Answer call(NetworkAddress gateway, String path, int promptTokens) throws Exception {
    return send(gateway, path, promptTokens, LONGEST).await();
  }

  /**
   * Sends a request.
   *
   * @param promptTokens tokens of its prompt; 0 for an application request
   * @param deadline how long it says that it waits
   */
  public Call send(NetworkAddress gateway, String path, int promptTokens, Duration deadline) {
    return send(gateway, path, promptTokens, deadline, ownBody());
  }

  /**
   * As {@link #send(NetworkAddress, String, int, Duration)}.
   *
   * @param lastOnConnection whether the connection ends with the answer
   */
  public Call send(
      NetworkAddress gateway,
      String path,
      int promptTokens,
      Duration deadline,
      boolean lastOnConnection) {
    HttpFields headers =
        lastOnConnection
            ? HttpFields.build().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE)
            : HttpFields.EMPTY;
    return send(gateway, path, promptTokens, deadline, ownBody(), headers);
  }

  /** A request id that no other call has. */
  public String newRequestId() {
    return "request-" + number.incrementAndGet();
  }

  /**
   * Sends one of the tries of a request, which share its id and its body.
   *
   * @param tryNumber 1 for the first
   */
  public Call sendTry(
      NetworkAddress gateway,
      String path,
      int promptTokens,
      Duration deadline,
      String requestId,
      int tryNumber) {
    HttpFields headers = HttpFields.build().put(TRY, Integer.toString(tryNumber));
    byte[] body = ("body of " + requestId + " of " + this).getBytes(UTF_8);
    return send(gateway, path, promptTokens, deadline, body, headers, requestId);
  }

  /** Sends a request with a body that others may bear too. */
  public Call sendContent(NetworkAddress gateway, String path, int promptTokens, String body) {
    return send(gateway, path, promptTokens, LONGEST, body.getBytes(UTF_8));
  }

  /**
   * Sends a request like no other whose prompt begins with the given parts, which others may have
   * too.
   */
  public Call sendWithParts(NetworkAddress gateway, String path, List<String> sharedParts) {
    String prefix =
        sharedParts.stream()
            .map(part -> part + ":" + SHARED_PART_TOKENS + ",")
            .collect(Collectors.joining());
    HttpFields prompt =
        HttpFields.build()
            .put(EmulatedEngine.PREFIX_HASH, prefix + ownPart() + ":" + SHARED_PART_TOKENS);
    int tokens = SHARED_PART_TOKENS * (sharedParts.size() + 1);
    return send(gateway, path, tokens, LONGEST, ownBody(), prompt);
  }

  private String ownPart() {
    return "own" + Long.toHexString(number.get());
  }

  private byte[] ownBody() {
    return ("body of the call " + number.get() + " of " + this).getBytes(UTF_8);
  }

  /** Sends an application request with a body of some size. */
  public Call sendBody(NetworkAddress gateway, String path, int bytes) {
    return send(gateway, path, 0, LONGEST, new byte[bytes]);
  }

  /**
   * Continues a stream whose connection broke.
   *
   * @param firstAttempt id of the request that brought its first event
   * @param lastEvent number of the last event that came
   */
  public Call resume(NetworkAddress gateway, int promptTokens, String firstAttempt, int lastEvent) {
    return resume(gateway, EmulatedPlatform.RESUMABLE, promptTokens, firstAttempt, lastEvent);
  }

  /** As {@link #resume(NetworkAddress, int, String, int)}, for a stream of another path. */
  public Call resume(
      NetworkAddress gateway, String path, int promptTokens, String firstAttempt, int lastEvent) {
    HttpFields resumed =
        HttpFields.build()
            .put("Resumes", firstAttempt)
            .put("Last-Event-Id", Integer.toString(lastEvent));
    return send(gateway, path, promptTokens, LONGEST, ownBody(), resumed);
  }

  /**
   * Sends a request once more, with the same id.
   *
   * @param deadline how long it says that it still waits
   */
  public Call sendAgain(Call before, NetworkAddress gateway, Duration deadline) {
    BytesRequestContent body = (BytesRequestContent) before.request().getBody();
    body.rewind();
    Request request =
        post(gateway, before.request().getPath(), body)
            .headers(
                headers -> {
                  before.request().getHeaders().forEach(headers::put);
                  headers.put(DEADLINE, Long.toString(deadline.toMillis()));
                });
    return send(before.requestId(), request);
  }

  private Request post(NetworkAddress gateway, String path, BytesRequestContent body) {
    return client
        .newRequest(gateway.host(), gateway.port())
        .method(HttpMethod.POST)
        .path(path)
        .timeout(LONGEST.toSeconds(), TimeUnit.SECONDS)
        .body(body);
  }

  private Call send(
      NetworkAddress gateway, String path, int promptTokens, Duration deadline, byte[] body) {
    return send(gateway, path, promptTokens, deadline, body, HttpFields.EMPTY);
  }

  private Call send(
      NetworkAddress gateway,
      String path,
      int promptTokens,
      Duration deadline,
      byte[] body,
      HttpFields extraHeaders) {
    return send(gateway, path, promptTokens, deadline, body, extraHeaders, newRequestId());
  }

  private Call send(
      NetworkAddress gateway,
      String path,
      int promptTokens,
      Duration deadline,
      byte[] body,
      HttpFields extraHeaders,
      String requestId) {
    Request request =
        post(gateway, path, new BytesRequestContent(body))
            .headers(
                headers -> {
                  write(headers, requestId, promptTokens, deadline);
                  headers.add(ownHeaders);
                  extraHeaders.forEach(headers::put);
                });
    return send(requestId, request);
  }

  private static Call send(String requestId, Request request) {
    CompletableFuture<Answer> answer = new CompletableFuture<>();
    request.send(
        new BufferingResponseListener() {
          @Override
          public void onComplete(Result result) {
            answer.complete(
                new Answer(
                    requestId,
                    result.getResponse().getStatus(),
                    result.getResponse().getHeaders(),
                    getContentAsString() == null ? "" : getContentAsString(),
                    result.isSucceeded()));
          }
        });
    return new Call(requestId, request, answer);
  }

  private static void write(
      HttpFields.Mutable headers, String requestId, int promptTokens, Duration deadline) {
    headers.put("Host", EmulatedPlatform.HOST);
    headers.put("X-Fallturn-Request-Id", requestId);
    headers.put(DEADLINE, Long.toString(deadline.toMillis()));
    if (promptTokens > 0) {
      int shared = promptTokens / 2;
      headers.put("X-Fallturn-Model", "m");
      headers.put("X-Fallturn-Token-Count", promptTokens + ",80");
      headers.put(
          EmulatedEngine.PREFIX_HASH,
          FIRST_PART + ":" + shared + "," + requestId.hashCode() + ":" + (promptTokens - shared));
    }
  }

  @Override
  public void close() throws Exception {
    client.stop();
  }
}
