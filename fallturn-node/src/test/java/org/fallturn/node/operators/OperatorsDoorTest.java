package org.fallturn.node.operators;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.query.Column;
import org.fallturn.core.query.LiveRows;
import org.fallturn.core.query.LiveTable;
import org.fallturn.core.query.Row;
import org.fallturn.core.query.TableSchema;
import org.fallturn.node.configuration.InMemoryTable;
import org.fallturn.node.configuration.TestNode;
import org.fallturn.node.http.ErrorBody;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OperatorsDoorTest {

  private static final String TENANT =
      "INSERT INTO tenants (tenant, requests_per_second, tokens_per_second)"
          + " VALUES ('alava', 10, 1000)";

  private final JsonCodec codec = new JsonCodec();
  private final InMemoryTable store = new InMemoryTable();
  private final Map<NodeId, TestNode> fleet = TestNode.fleet();
  private final List<OperatorsTestNode> nodes = new ArrayList<>();
  private final HttpClient client = new HttpClient();
  private String key = OperatorsTestNode.BOOTSTRAP_KEY;

  @BeforeEach
  void start() throws Exception {
    client.start();
    nodes.add(new OperatorsTestNode("lakua-1", "lakua", fleet, store));
    nodes.add(new OperatorsTestNode("lakua-2", "lakua", fleet, store));
    nodes.add(new OperatorsTestNode("jundiz-1", "jundiz", fleet, store));
    await().until(() -> nodes.stream().allMatch(node -> node.node().module().isLoaded()));
  }

  @AfterEach
  void stop() throws Exception {
    for (OperatorsTestNode node : nodes) {
      node.close();
    }
    client.stop();
  }

  @Test
  void changeIsAcceptedAndInForceOnAllNodes() throws Exception {
    StatementAnswer answer = answer(0, TENANT);

    assertThat(answer.kind()).isEqualTo(StatementAnswer.Kind.ACCEPTED);
    assertThat(answer.version()).isEqualTo(1);
    assertThat(answer.inForce().orElseThrow().nodesInForce()).isEqualTo(3);
    assertThat(answer.inForce().orElseThrow().complete()).isTrue();
    assertThat(cells(answer(2, "SELECT tenant, max_queued FROM tenants")))
        .containsExactly("alava 100");
  }

  @Test
  void sameChangeAgainChangesNothing() throws Exception {
    answer(0, TENANT);

    StatementAnswer again =
        answer(0, "UPDATE tenants SET requests_per_second = 10 WHERE tenant = 'alava'");

    assertThat(again.kind()).isEqualTo(StatementAnswer.Kind.UNCHANGED);
    assertThat(again.version()).isEqualTo(1);
  }

  @Test
  void failingStatementLeavesWholeSubmissionUndone() throws Exception {
    ErrorBody.Detail error =
        error(0, 400, TENANT + "; UPDATE tenants SET share_weight = 0 WHERE tenant = 'alava'");

    assertThat(error.message()).contains("share_weight must be above 0");
    assertThat(answer(0, "SELECT * FROM tenants").rows()).isEmpty();
    assertThat(nodes.get(0).node().module().version()).isZero();
  }

  @Test
  void explainShowsChangeAndDoesNothing() throws Exception {
    answer(0, TENANT);

    StatementAnswer answer =
        answer(0, "EXPLAIN UPDATE tenants SET max_queued = 7 WHERE tenant LIKE 'al%'");

    assertThat(answer.kind()).isEqualTo(StatementAnswer.Kind.EXPLAINED);
    assertThat(cells(answer)).containsExactly("update tenants alava max_queued: 100 -> 7");
    assertThat(cells(answer(0, "SELECT max_queued FROM tenants"))).containsExactly("100");
  }

  @Test
  void staleExpectedVersionIsConflictThatNamesChange() throws Exception {
    answer(1, TENANT);

    ErrorBody.Detail error =
        error(0, 409, "SET expected_version = 0; DELETE FROM tenants WHERE tenant = 'alava'");

    assertThat(error.message()).contains("version 1 by bootstrap changed tenant 'alava'");
  }

  @Test
  void generatedKeyWorksOnceAndBootstrapKeyEnds() throws Exception {
    StatementAnswer answer =
        answer(
            0,
            "INSERT INTO operators (operator, role) VALUES ('ana', 'OPERATOR'), ('eva', 'VIEWER')");
    String ana = answer.generatedKeys().get(0).key();
    String eva = answer.generatedKeys().get(1).key();

    error(0, 401, "SELECT * FROM tenants");
    key = eva;
    answer(0, "SELECT * FROM tenants");
    answer(0, "EXPLAIN " + TENANT);
    assertThat(error(0, 403, TENANT).message()).contains("eva has role VIEWER");
    key = ana;
    answer(2, TENANT);

    StatementAnswer trail = answer(2, "SELECT operator, statement FROM changes ORDER BY version");
    assertThat(cells(trail).get(1)).startsWith("ana INSERT INTO tenants");
    assertThat(codec.encodeText(trail)).doesNotContain(ana).doesNotContain(eva);
  }

  @Test
  void queryOverZonesNamesPartsAndMissingZone() throws Exception {
    StatementAnswer whole =
        answer(0, "SELECT zone, count(*) FROM members GROUP BY zone ORDER BY 1");
    assertThat(cells(whole)).containsExactly("jundiz 1", "lakua 2");
    assertThat(whole.parts()).extracting(StatementAnswer.Part::missing).containsOnly("");

    nodes.get(2).node().closeListener();
    StatementAnswer partial = answer(0, "SELECT zone, count(*) FROM members GROUP BY zone");

    assertThat(cells(partial)).containsExactly("lakua 2");
    assertThat(partial.incomplete()).isTrue();
    assertThat(partial.parts())
        .filteredOn(part -> !part.missing().isEmpty())
        .extracting(StatementAnswer.Part::source)
        .containsExactly("zone jundiz");
  }

  @Test
  void poolWithoutLeaderIsNamed() throws Exception {
    TableSchema schema = TableSchema.of("engines", Column.text("engine"));
    for (OperatorsTestNode node : nodes) {
      node.tables()
          .register(
              new SuppliedTable(
                  schema,
                  LiveTable.Scope.LEADERS,
                  () -> LiveRows.current(List.of(Row.of("lakua-engine-1")))));
    }

    StatementAnswer answer = answer(0, "SELECT * FROM engines");

    assertThat(answer.parts().get(0).source()).isEqualTo("pool lakua/suggest-7b");
    assertThat(answer.parts().get(0).missing()).isEqualTo("no node known");
  }

  @Test
  void drainedMachineIsShown() throws Exception {
    answer(0, "INSERT INTO machine_drains (machine, reason) VALUES ('lakua-engine-1', 'fan')");

    assertThat(cells(answer(0, "SELECT machine FROM machines WHERE drained")))
        .containsExactly("lakua-engine-1");
  }

  @Test
  void storeOutageRefusesChangesButReadsGoOn() throws Exception {
    answer(0, TENANT);
    store.setDown(true);

    assertThat(error(0, 503, TENANT.replace("alava", "other")).message())
        .contains("table service cannot be reached");
    assertThat(cells(answer(0, "SELECT tenant FROM tenants"))).containsExactly("alava");
    assertThat(cells(answer(0, "SELECT version FROM changes"))).containsExactly("1");
  }

  private StatementAnswer answer(int node, String statement) throws Exception {
    ContentResponse response = send(node, statement);
    assertThat(response.getStatus()).as(response.getContentAsString()).isEqualTo(200);
    return codec.decode(response.getContent(), StatementAnswer.class);
  }

  private ErrorBody.Detail error(int node, int status, String statement) throws Exception {
    ContentResponse response = send(node, statement);
    assertThat(response.getStatus()).as(response.getContentAsString()).isEqualTo(status);
    return codec.decode(response.getContent(), ErrorBody.class).error();
  }

  private ContentResponse send(int node, String statement) throws Exception {
    StatementRequest body =
        new StatementRequest(statement, OptionalLong.empty(), OptionalLong.of(30_000));
    return client
        .newRequest("http://" + nodes.get(node).address() + StatementRequest.PATH)
        .method(HttpMethod.POST)
        .timeout(60, TimeUnit.SECONDS)
        .headers(headers -> headers.put("Authorization", "Bearer " + key))
        .body(new StringRequestContent("application/json", codec.encodeText(body)))
        .send();
  }

  private static List<String> cells(StatementAnswer answer) {
    return answer.rows().stream()
        .map(row -> String.join(" ", row.values().stream().map(value -> value.text()).toList()))
        .toList();
  }
}
