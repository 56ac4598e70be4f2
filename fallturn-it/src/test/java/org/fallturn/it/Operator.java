package org.fallturn.it;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.fallturn.node.operators.StatementRequest;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetNode;

/** Sends statements to the operators' port of a node. */
final class Operator {

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final HttpClient client = HttpClient.newHttpClient();
  private final ObjectMapper json = new ObjectMapper();

  /** An answer of the operators' port. */
  record Answer(int status, JsonNode body) {

    long version() {
      return body.path("version").asLong();
    }
  }

  Answer state(FleetNode node, String statement) throws IOException, InterruptedException {
    String body = json.createObjectNode().put("statement", statement).toString();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + node.operators() + StatementRequest.PATH))
            .header("Authorization", "Bearer " + FleetConfiguration.OPERATOR_KEY)
            .header("Content-Type", "application/json")
            .timeout(TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
    return new Answer(answer.statusCode(), json.readTree(answer.body()));
  }

  /** The configuration version in force on a node. */
  long versionAt(FleetNode node) throws IOException, InterruptedException {
    return state(node, "SELECT tenant FROM tenants").version();
  }
}
