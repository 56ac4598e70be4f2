package org.fallturn.rehearsal.overhead;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.fleet.FleetConfiguration;

/** Goes through a node, as a caller does. */
final class NodeTarget implements CompletionTarget {

  private static final int OK = 200;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client;
  private final NetworkAddress node;

  NodeTarget(HttpClient client, NetworkAddress node) {
    this.client = client;
    this.node = node;
  }

  @Override
  public CompletableFuture<CompletionTiming> complete(String prompt, int maxTokens) {
    CompletableFuture<CompletionTiming> result = new CompletableFuture<>();
    byte[] body =
        JSON.createObjectNode()
            .put("model", FleetConfiguration.MODEL)
            .put("prompt", prompt)
            .put("max_tokens", maxTokens)
            .put("stream", true)
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    client
        .newRequest("http://" + node + "/v1/completions")
        .method(HttpMethod.POST)
        .headers(
            headers ->
                headers.put(HttpHeader.AUTHORIZATION, "Bearer " + FleetConfiguration.FIRST_KEY))
        .body(new BytesRequestContent("application/json", body))
        .send(new Reader(new AnswerCheck(prompt, maxTokens), result));
    return result;
  }

  /** Reads one answer's events. */
  private static final class Reader implements Response.Listener {

    private static final String DATA = "data: ";
    private static final String DONE = "[DONE]";

    private final AnswerCheck check;
    private final CompletableFuture<CompletionTiming> result;
    private final StringBuilder line = new StringBuilder();
    private boolean done;

    Reader(AnswerCheck check, CompletableFuture<CompletionTiming> result) {
      this.check = check;
      this.result = result;
    }

    /** The events are ASCII here: stand-in tokens are. */
    @Override
    public void onContent(Response response, ByteBuffer content) {
      while (content.hasRemaining()) {
        char next = (char) content.get();
        if (next == '\n') {
          onLine(line.toString());
          line.setLength(0);
        } else {
          line.append(next);
        }
      }
    }

    private void onLine(String text) {
      if (!text.startsWith(DATA)) {
        return;
      }
      String data = text.substring(DATA.length());
      if (data.equals(DONE)) {
        done = true;
        return;
      }
      try {
        check.append(JSON.readTree(data).path("choices").path(0).path("text").asText());
      } catch (JsonProcessingException e) {
        result.completeExceptionally(e);
      }
    }

    @Override
    public void onComplete(Result outcome) {
      int status = outcome.getResponse() == null ? 0 : outcome.getResponse().getStatus();
      if (outcome.isFailed() || status != OK || !done) {
        result.completeExceptionally(
            new IllegalStateException(
                "status " + status + ", " + outcome.getFailure() + ", last line: " + line));
      } else {
        check.end(result);
      }
    }
  }
}
