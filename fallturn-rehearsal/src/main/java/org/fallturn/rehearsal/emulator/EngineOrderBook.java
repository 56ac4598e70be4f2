package org.fallturn.rehearsal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.eclipse.jetty.http.HttpStatus;

/**
 * The orders of one emulated engine: refuses a fencing token below one it has seen and an order
 * that expects another number of orders. An order is carried out at once. Thread-safe.
 */
final class EngineOrderBook {

  private final ObjectMapper json = new ObjectMapper();
  private final List<String> taken = new ArrayList<>();
  private long highestToken;

  /**
   * What became of an order.
   *
   * @param status status of the answer
   * @param stage stage of the engine after it
   */
  record Answer(int status, String stage) {}

  /**
   * The body of a report.
   *
   * @param further more fields of it, each after a comma
   */
  synchronized String report(String stage, String further) {
    return String.format(
        Locale.ROOT,
        "{\"stage\":\"%s\",\"models\":[],\"busy\":false,\"sequence\":%d,\"queued\":0%s}",
        stage,
        taken.size(),
        further);
  }

  /** Takes or refuses an order. */
  synchronized Answer take(String body, String stage) throws IOException {
    JsonNode order = json.readTree(body);
    long token = order.path("fencingToken").asLong();
    String wanted = order.path("stage").asText();
    if (!order.path("op").asText().equals("stage") || order.path("holder").asText().isEmpty()) {
      return new Answer(HttpStatus.BAD_REQUEST_400, stage);
    }
    if (token < highestToken) {
      return new Answer(HttpStatus.PRECONDITION_FAILED_412, stage);
    }
    highestToken = token;
    if (order.path("expected").asLong() != taken.size()) {
      return new Answer(HttpStatus.CONFLICT_409, stage);
    }
    if (wanted.equals(stage)) {
      return new Answer(HttpStatus.OK_200, stage);
    }
    taken.add(body);
    return new Answer(HttpStatus.ACCEPTED_202, wanted);
  }

  /** The orders taken so far. */
  synchronized List<String> taken() {
    return List.copyOf(taken);
  }
}
