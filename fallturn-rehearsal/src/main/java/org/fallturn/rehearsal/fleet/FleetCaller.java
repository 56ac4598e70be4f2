package org.fallturn.rehearsal.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.DeterministicTokens;
import org.fallturn.rehearsal.application.ApplicationStandIn;

/**
 * A caller that knows the right answer to each of its requests. Calls block; nothing is sent twice.
 * Thread-safe.
 */
public final class FleetCaller implements AutoCloseable {

  private static final int OK = 200;
  private static final int THREADS = 32;
  private static final int CONNECTIONS = 512;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client;
  private final String apiKey;
  private final Duration patience;

  /**
   * A started caller.
   *
   * @param apiKey key of its tenant
   * @param patience how long it waits for a whole answer
   */
  public FleetCaller(String apiKey, Duration patience) throws Exception {
    this.apiKey = apiKey;
    this.patience = patience;
    QueuedThreadPool threads = new QueuedThreadPool(THREADS);
    threads.setName("fleet-caller");
    threads.setDaemon(true);
    client = new HttpClient();
    client.setExecutor(threads);
    client.setMaxConnectionsPerDestination(CONNECTIONS);
    client.start();
    client.getProtocolHandlers().clear();
  }

  /** Asks for a streamed completion and checks every byte of it. */
  public CallResult complete(NetworkAddress node, String prompt, int maxTokens) {
    return complete(node, prompt, maxTokens, Map.of());
  }

  /** Asks for a streamed completion with further headers and checks every byte of it. */
  public CallResult complete(
      NetworkAddress node, String prompt, int maxTokens, Map<String, String> headers) {
    long start = System.nanoTime();
    String expected = new DeterministicTokens(prompt).answer(maxTokens);
    Request request = request(node, "/v1/completions", HttpMethod.POST, headers);
    request.body(new BytesRequestContent("application/json", body(prompt, maxTokens)));
    InputStreamResponseListener listener = new InputStreamResponseListener();
    request.send(listener);
    try {
      Response response = listener.get(patience.toMillis(), TimeUnit.MILLISECONDS);
      if (response.getStatus() != OK) {
        byte[] content = listener.getInputStream().readAllBytes();
        return refused(response.getStatus(), content, start);
      }
      return new CompletionReader(expected, start).read(listener.getInputStream());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return lost(e, start);
    } catch (ExecutionException | TimeoutException | IOException e) {
      return lost(e, start);
    }
  }

  private static byte[] body(String prompt, int maxTokens) {
    return JSON.createObjectNode()
        .put("model", FleetConfiguration.MODEL)
        .put("prompt", prompt)
        .put("max_tokens", maxTokens)
        .put("stream", true)
        .toString()
        .getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Asks an application to act once and checks the answer.
   *
   * @param service the application service
   * @param businessKey what the application counts by
   * @param idempotencyKey sent when not empty
   */
  public CallResult act(
      NetworkAddress node, String service, String businessKey, String idempotencyKey) {
    long start = System.nanoTime();
    String path = "/services/" + service + "/actions/" + businessKey;
    String text = "act on " + businessKey;
    Request request =
        request(
            node,
            path,
            HttpMethod.POST,
            Map.of(ApplicationStandIn.BUSINESS_KEY_HEADER, businessKey));
    if (!idempotencyKey.isEmpty()) {
      request.headers(fields -> fields.put("Idempotency-Key", idempotencyKey));
    }
    request.body(new BytesRequestContent("text/plain", text.getBytes(StandardCharsets.UTF_8)));
    try {
      ContentResponse response = request.send();
      if (response.getStatus() != OK) {
        return refused(response.getStatus(), response.getContent(), start);
      }
      boolean right =
          response.getContentAsString().equals(ApplicationStandIn.answer("POST", path, text));
      return right
          ? result(CallResult.Verdict.COMPLETE, OK, "", start)
          : result(CallResult.Verdict.WRONG, OK, response.getContentAsString(), start);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return lost(e, start);
    } catch (ExecutionException | TimeoutException e) {
      return lost(e, start);
    }
  }

  private Request request(
      NetworkAddress node, String path, HttpMethod method, Map<String, String> headers) {
    Request request = client.newRequest("http://" + node + path).method(method);
    request.timeout(patience.toMillis(), TimeUnit.MILLISECONDS);
    request.headers(
        fields -> {
          fields.put(HttpHeader.AUTHORIZATION, "Bearer " + apiKey);
          headers.forEach(fields::put);
        });
    return request;
  }

  private static CallResult refused(int status, byte[] content, long start) {
    try {
      var body = JSON.readTree(content);
      return result(CallErrors.verdict(body), status, CallErrors.kind(body), start);
    } catch (IOException e) {
      return result(CallResult.Verdict.WRONG, status, "an error without a readable body", start);
    }
  }

  private static CallResult lost(Exception cause, long start) {
    return result(CallResult.Verdict.CUT, 0, cause.toString(), start);
  }

  private static CallResult result(
      CallResult.Verdict verdict, int status, String detail, long start) {
    return new CallResult(verdict, status, detail, 0, System.nanoTime() - start, List.of());
  }

  @Override
  public void close() throws Exception {
    client.stop();
  }
}
