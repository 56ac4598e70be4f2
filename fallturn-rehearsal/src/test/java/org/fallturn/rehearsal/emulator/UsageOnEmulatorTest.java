package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.node.gateway.GatewayServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Whether requests are reported once each, for the window in which they began to run. */
class UsageOnEmulatorTest {

  private static final Duration WINDOW = Duration.ofSeconds(1);
  private static final Duration LONGEST = Duration.ofSeconds(30);
  private static final int SHORT_PROMPT = 300;

  private final List<GatewayServer> gateways = new ArrayList<>();
  private EmulatedPlatform platform;
  private EmulatedClient client;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    platform.configureTenants(
        RouteText.tenant("bakery", OptionalInt.empty(), "key-b"),
        RouteText.tenant("mill", OptionalInt.empty(), "key-m"));
    platform.reportUsage(WINDOW);
    platform.addEngine("d-1", EmulatedPlatform.MODEL_SERVICE, "decode");
    platform.addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
    gateways.add(platform.addGateway());
    gateways.add(platform.addGateway(gateways.get(0).peersAddress()));
    await().atMost(LONGEST).until(() -> gateways.stream().allMatch(g -> g.nodeCount() == 2));
    client = new EmulatedClient();
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
  }

  private void call(String key, String path, int promptTokens, int times) throws Exception {
    client.setHeaders(HttpFields.build().add("Authorization", "Bearer " + key));
    for (int number = 0; number < times; number++) {
      GatewayServer gateway = gateways.get(number % gateways.size());
      assertThat(client.call(gateway.callersAddress(), path, promptTokens).status()).isEqualTo(200);
    }
  }

  /** The counts that were taken, added up over all windows; each window counts once. */
  private Map<String, Long> reported() {
    Map<Long, JsonNode> windows = new HashMap<>();
    for (EmulatedApi.Taken call : platform.api().taken()) {
      JsonNode counts = call.body().path("counts");
      JsonNode before = windows.put(call.body().path("windowId").asLong(), counts);
      assertThat(before == null || before.equals(counts)).isTrue();
    }
    Map<String, Long> sums = new HashMap<>();
    for (JsonNode counts : windows.values()) {
      counts
          .properties()
          .forEach(one -> sums.merge(one.getKey(), one.getValue().asLong(), Long::sum));
    }
    return sums;
  }

  private static long counted(EmulatedApi.Taken call, String tenant) {
    return call.body().path("counts").path(tenant).asLong();
  }

  private void playSomeRequests() throws Exception {
    call("key-b", EmulatedPlatform.RESUMABLE, SHORT_PROMPT, 5);
    call("key-m", EmulatedPlatform.IDEMPOTENT, 0, 3);
    call("key-b", EmulatedPlatform.NON_IDEMPOTENT, 0, 2);
  }

  @Test
  void eachRequestIsReportedOnceByOneHolder() throws Exception {
    playSomeRequests();
    await().atMost(LONGEST).until(() -> reported().equals(Map.of("bakery", 7L, "mill", 3L)));
    assertThat(platform.api().taken().stream().map(EmulatedApi.Taken::holder).distinct())
        .hasSize(1);
  }

  @Test
  void requestsThatDidNotRunAreNotReported() throws Exception {
    client.setHeaders(HttpFields.build().add("Authorization", "Bearer nobody's"));
    client.call(gateways.get(0).callersAddress(), EmulatedPlatform.IDEMPOTENT, 0);
    call("key-m", EmulatedPlatform.IDEMPOTENT, 0, 1);
    await().atMost(LONGEST).until(() -> !reported().isEmpty());
    assertThat(reported()).isEqualTo(Map.of("mill", 1L));
  }

  @Test
  void anotherNodeReportsWhatTheLeaderHadHeard() throws Exception {
    playSomeRequests();
    await().atMost(LONGEST).until(() -> reported().equals(Map.of("bakery", 7L, "mill", 3L)));
    platform.api().refuse(true);
    call("key-m", EmulatedPlatform.IDEMPOTENT, 0, 4);
    String leader = platform.api().taken().get(0).holder();
    await()
        .atMost(LONGEST)
        .until(() -> platform.api().refused().stream().anyMatch(c -> counted(c, "mill") > 0));
    gateways.get(leader.equals("gateway-1") ? 0 : 1).close();
    platform.api().refuse(false);
    await().atMost(LONGEST).until(() -> reported().equals(Map.of("bakery", 7L, "mill", 7L)));
    assertThat(platform.api().taken().stream().map(EmulatedApi.Taken::holder).distinct())
        .hasSize(2);
  }
}
