package org.fallturn.rehearsal.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads one streamed completion and checks every byte against the answer that is due. Used by one
 * thread.
 */
final class CompletionReader {

  private static final String DATA = "data: ";
  private static final String ERROR = "event: error";
  private static final String DONE = "[DONE]";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final String expected;
  private final long startNanos;
  private final StringBuilder text = new StringBuilder();
  private final List<Long> gaps = new ArrayList<>();
  private long firstNanos;
  private long lastNanos;
  private boolean errorFollows;

  CompletionReader(String expected, long startNanos) {
    this.expected = expected;
    this.startNanos = startNanos;
  }

  CallResult read(InputStream stream) {
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        CallResult end = onLine(line);
        if (end != null) {
          return end;
        }
      }
      return result(CallResult.Verdict.CUT, "ended after " + text.length() + " characters");
    } catch (IOException e) {
      return result(CallResult.Verdict.CUT, "broke after " + text.length() + " characters: " + e);
    }
  }

  private CallResult onLine(String line) throws IOException {
    if (line.startsWith(ERROR)) {
      errorFollows = true;
      return null;
    }
    if (!line.startsWith(DATA)) {
      return null;
    }
    String data = line.substring(DATA.length());
    if (errorFollows) {
      return error(JSON.readTree(data));
    }
    if (data.equals(DONE)) {
      return text.toString().equals(expected)
          ? result(CallResult.Verdict.COMPLETE, "")
          : result(CallResult.Verdict.WRONG, "short answer that looks whole");
    }
    return onChunk(JSON.readTree(data));
  }

  private CallResult onChunk(JsonNode chunk) {
    noteTime();
    text.append(chunk.path("choices").path(0).path("text").asText());
    if (!expected.startsWith(text.toString())) {
      return result(CallResult.Verdict.WRONG, "bytes of another answer");
    }
    return null;
  }

  private void noteTime() {
    long now = System.nanoTime();
    if (firstNanos == 0) {
      firstNanos = now;
    } else {
      gaps.add(now - lastNanos);
    }
    lastNanos = now;
  }

  private CallResult error(JsonNode body) {
    return result(CallErrors.verdict(body), CallErrors.kind(body));
  }

  private CallResult result(CallResult.Verdict verdict, String detail) {
    long first = firstNanos == 0 ? 0 : firstNanos - startNanos;
    return new CallResult(verdict, 200, detail, first, System.nanoTime() - startNanos, gaps);
  }
}
