package org.fallturn.node.operators;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.awaitility.Awaitility;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.fallturn.node.configuration.InMemoryTable;
import org.fallturn.node.configuration.TestNode;
import org.fallturn.node.json.JsonCodec;

/** Bad input at the operators' door: every answer is a client error, and the door stays open. */
class OperatorsFuzzTest {

  private static final String SEED = "4711";
  private static final HttpClient CLIENT = new HttpClient();
  private static final JsonCodec CODEC = new JsonCodec();
  private static OperatorsTestNode node;

  @BeforeContainer
  static void start() throws Exception {
    node = new OperatorsTestNode("lakua-1", "lakua", TestNode.fleet(), new InMemoryTable());
    CLIENT.start();
    Awaitility.await().until(() -> node.node().module().isLoaded());
  }

  @AfterContainer
  static void stop() throws Exception {
    CLIENT.stop();
    node.close();
  }

  @Property(tries = 200, seed = SEED)
  void bodiesOfAnyBytes(@ForAll byte[] body) throws Exception {
    assertThat(status(body)).isEqualTo(400);
  }

  @Property(tries = 200, seed = SEED)
  void statementsOfAnyText(@ForAll String text) throws Exception {
    assertThat(status(statement(text))).isEqualTo(400);
  }

  @Property(tries = 400, seed = SEED)
  void statementsOfShuffledWords(@ForAll("words") String text) throws Exception {
    assertThat(status(statement(text))).isIn(200, 400);
    assertThat(status(statement("SELECT count(*) FROM tenants"))).isEqualTo(200);
  }

  @Provide
  Arbitrary<String> words() {
    return Arbitraries.of(
            "SELECT",
            "*",
            "tenant",
            "count(*)",
            "FROM",
            "tenants",
            "members",
            "WHERE",
            "AND",
            "OR",
            "NOT",
            "(",
            ")",
            "=",
            "<",
            "LIKE",
            "IN",
            "'x'",
            "'",
            "1",
            "-1",
            "1e999",
            "NULL",
            "ORDER",
            "BY",
            "GROUP",
            "LIMIT",
            "INSERT",
            "INTO",
            "VALUES",
            ",",
            ";",
            "UPDATE",
            "SET",
            "DELETE",
            "EXPLAIN",
            "expected_version",
            "--",
            "/*",
            "WITH",
            "UNION",
            "JOIN",
            "CASE",
            "\"",
            "\u0000")
        .list()
        .ofMaxSize(24)
        .map(list -> String.join(" ", list));
  }

  private static byte[] statement(String text) {
    return CODEC.encode(Map.of("statement", text, "waitMillis", 0));
  }

  private static int status(byte[] body) throws Exception {
    ContentResponse response =
        CLIENT
            .newRequest("http://" + node.address() + StatementRequest.PATH)
            .method(HttpMethod.POST)
            .timeout(30, TimeUnit.SECONDS)
            .headers(
                headers ->
                    headers.put("Authorization", "Bearer " + OperatorsTestNode.BOOTSTRAP_KEY))
            .body(new BytesRequestContent("application/json", body))
            .send();
    assertThat(new String(response.getContent(), StandardCharsets.UTF_8)).isNotBlank();
    return response.getStatus();
  }
}
