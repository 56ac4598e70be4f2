package org.fallturn.it;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.operators.GeneratedKey;
import org.fallturn.node.operators.KeyHashes;
import org.fallturn.node.operators.StatementAnswer;
import org.fallturn.node.operators.StatementRequest;
import org.fallturn.node.server.NodeServer;
import org.fallturn.node.settings.NodeSettings;
import org.fallturn.rehearsal.engine.EngineSettings;
import org.fallturn.rehearsal.engine.EngineStandIn;
import org.fallturn.rehearsal.platform.PlatformSettings;
import org.fallturn.rehearsal.platform.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Every statement of docs/OPERATIONS.md does what the page says, on an empty fleet. */
class OperationsPageIT {

  private static final String MODEL = "suggest-7b";
  private static final String BOOTSTRAP_KEY = "the operator's first key";
  private static final Duration PATIENCE = Duration.ofSeconds(60);
  private static final int ENGINES = 3;
  private static final long WAIT_MILLIS = 30_000;

  private final JsonCodec codec = new JsonCodec();
  private final HttpClient client = new HttpClient();
  private final List<AutoCloseable> started = new ArrayList<>();
  private final List<Machine> machines = new ArrayList<>();
  private final List<NodeServer> nodes = new ArrayList<>();
  private final Map<String, String> keys = new HashMap<>();
  private PlatformStandIn platform;

  @BeforeEach
  void startFleet() throws Exception {
    client.start();
    platform = keep(new PlatformStandIn(PlatformSettings.defaults()).start());
    startEngine("lakua-engine-1", EngineRole.PREFILL);
    startEngine("lakua-engine-2", EngineRole.DECODE);
    startEngine("lakua-engine-3", EngineRole.DECODE);
    platform.setMachines(machines);
    startNode("lakua-1");
    startNode("lakua-2");
    platform.setMachines(machines);
    await()
        .atMost(PATIENCE)
        .until(() -> nodes.stream().allMatch(node -> node.configuration().isLoaded()));
    keys.put("operator", BOOTSTRAP_KEY);
    for (NodeServer node : nodes) {
      await().atMost(PATIENCE).until(() -> rowsSeenBy(node, "members") == nodes.size());
      await().atMost(PATIENCE).until(() -> rowsSeenBy(node, "engines") == ENGINES);
    }
  }

  @AfterEach
  void stopFleet() throws Exception {
    for (int index = started.size() - 1; index >= 0; index--) {
      started.get(index).close();
    }
    client.stop();
  }

  @Test
  void pageTakesNewcomerFromEmptyFleetToTwoTenants() throws Exception {
    List<OperationsPage.Block> blocks = OperationsPage.blocks();
    assertThat(blocks).hasSizeGreaterThan(15);
    int turn = 0;
    for (OperationsPage.Block block : blocks) {
      NetworkAddress door = nodes.get(turn++ % nodes.size()).operatorsAddress();
      if (block.refused()) {
        assertRefused(block, send(door, block.statement()));
      } else if (block.statement().startsWith("SELECT")) {
        await().atMost(PATIENCE).until(() -> hasRows(send(door, block.statement())));
      } else {
        noteKeys(assertDone(block, send(door, block.statement())));
      }
    }
    assertStateAtEnd();
    await().atMost(PATIENCE).until(() -> completionStatus("grocery/2026-12") == 200);
    assertThat(completionStatus("archive/2027-01")).isEqualTo(403);
    assertThat(completionStatus("archive/2026-12")).isEqualTo(401);
  }

  private int rowsSeenBy(NodeServer node, String table) throws Exception {
    ContentResponse response = send(node.operatorsAddress(), "SELECT * FROM " + table);
    StatementAnswer answer = codec.decode(response.getContent(), StatementAnswer.class);
    return answer.incomplete() ? 0 : answer.rows().size();
  }

  private static void assertRefused(OperationsPage.Block block, ContentResponse response) {
    assertThat(block.reason()).as("reason of " + block.statement()).isNotEmpty();
    assertThat(response.getStatus()).as(block.statement()).isIn(400, 409);
    assertThat(response.getContentAsString()).contains(block.reason());
  }

  private StatementAnswer assertDone(OperationsPage.Block block, ContentResponse response)
      throws Exception {
    assertThat(response.getStatus())
        .as(block.statement() + "\n" + response.getContentAsString())
        .isEqualTo(200);
    StatementAnswer answer = codec.decode(response.getContent(), StatementAnswer.class);
    assertThat(answer.rows()).as(block.statement()).isNotEmpty();
    assertThat(answer.incomplete()).as(block.statement() + "\n" + answer).isFalse();
    return answer;
  }

  private boolean hasRows(ContentResponse response) throws Exception {
    assertThat(response.getStatus()).as(response.getContentAsString()).isEqualTo(200);
    StatementAnswer answer = codec.decode(response.getContent(), StatementAnswer.class);
    return !answer.rows().isEmpty() && !answer.incomplete();
  }

  private void noteKeys(StatementAnswer answer) {
    for (GeneratedKey key : answer.generatedKeys()) {
      keys.put(key.name().equals("ana") ? "operator" : key.name(), key.key());
    }
  }

  private void assertStateAtEnd() {
    for (NodeServer node : nodes) {
      var image = node.configuration().get();
      assertThat(image.tenants().get("grocery").requestsPerSecond()).isEqualTo(200);
      assertThat(image.tenants().get("archive").requestsPerSecond()).isEqualTo(8);
      assertThat(image.isDrained("lakua-engine-1")).isFalse();
      assertThat(image.isDrained("lakua-engine-2")).isTrue();
      assertThat(image.poolPolicies().get(MODEL).roleChangeWeight()).isEqualTo(40);
    }
  }

  private int completionStatus(String key) throws Exception {
    return client
        .newRequest("http://" + nodes.get(0).callersAddress() + "/v1/completions")
        .method(HttpMethod.POST)
        .timeout(60, TimeUnit.SECONDS)
        .headers(headers -> headers.put("Authorization", "Bearer " + keys.get(key)))
        .body(
            new StringRequestContent(
                "application/json",
                "{\"model\":\"suggest\",\"prompt\":\"milk or oat milk\",\"max_tokens\":4}"))
        .send()
        .getStatus();
  }

  private ContentResponse send(NetworkAddress door, String statement) throws Exception {
    StatementRequest body =
        new StatementRequest(statement, OptionalLong.empty(), OptionalLong.of(WAIT_MILLIS));
    return client
        .newRequest("http://" + door + StatementRequest.PATH)
        .method(HttpMethod.POST)
        .timeout(60, TimeUnit.SECONDS)
        .headers(headers -> headers.put("Authorization", "Bearer " + keys.get("operator")))
        .body(new StringRequestContent("application/json", codec.encodeText(body)))
        .send();
  }

  private void startEngine(String id, EngineRole role) throws Exception {
    EngineSettings settings =
        EngineSettings.defaults(id, role, MODEL).withPlatform(platform.address());
    EngineStandIn engine = keep(new EngineStandIn(settings).start());
    machines.add(machine(id, Machine.Kind.ENGINE, engine.address(), Optional.empty()));
  }

  private void startNode(String id) throws Exception {
    Map<String, String> flags = new HashMap<>();
    flags.put("node.id", id);
    flags.put("node.region", "alava");
    flags.put("node.zone", "lakua");
    flags.put("node.cluster_key", "a secret that only nodes share");
    flags.put("operators.bootstrap_key_hash", KeyHashes.hash(BOOTSTRAP_KEY));
    for (String port : List.of("callers", "operators", "peers", "gossip")) {
      flags.put(port + ".listen", "127.0.0.1:0");
    }
    for (String service : List.of("table", "object_store", "machines")) {
      flags.put("platform." + service, platform.address().toString());
    }
    flags.put("platform.machines_interval", "200ms");
    NodeServer node =
        keep(new NodeServer(NodeSettings.from(NodeSettings.reader().flags(flags).values())));
    node.start();
    nodes.add(node);
    Optional<NetworkAddress> gossip = Optional.of(node.addresses().get("gossip"));
    machines.add(machine(id, Machine.Kind.NODE, node.peersAddress(), gossip));
  }

  private static Machine machine(
      String id, Machine.Kind kind, NetworkAddress address, Optional<NetworkAddress> gossip) {
    return new Machine(
        id,
        kind,
        new RegionName("alava"),
        new ZoneName("lakua"),
        address,
        gossip,
        kind == Machine.Kind.ENGINE ? Optional.of(new ModelName(MODEL)) : Optional.empty(),
        Optional.empty(),
        Machine.State.LIVE);
  }

  private <T extends AutoCloseable> T keep(T part) {
    started.add(part);
    return part;
  }
}
