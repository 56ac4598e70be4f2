package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.node.gateway.GatewayServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against two usage reports of one window with different counts. The row that fixes the
 * counts of a window is gone once the store has been restored from an older copy. A node that takes
 * over then finds no row for a window that has been reported, and must not fix counts of its own.
 */
class RestoredUsageTest {

  private static final Duration WINDOW = Duration.ofSeconds(1);
  private static final Duration LONGEST = Duration.ofSeconds(40);

  private final List<GatewayServer> gateways = new ArrayList<>();
  private EmulatedPlatform platform;
  private EmulatedClient client;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    platform.configureTenants(RouteText.tenant("bakery", OptionalInt.empty(), "key-b"));
    platform.reportUsage(WINDOW);
    platform.addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
    gateways.add(platform.addGateway());
    gateways.add(platform.addGateway(gateways.get(0).peersAddress()));
    gateways.add(platform.addGateway(gateways.get(0).peersAddress()));
    await().atMost(LONGEST).until(() -> gateways.stream().allMatch(g -> g.nodeCount() == 3));
    client = new EmulatedClient();
    client.setHeaders(HttpFields.build().add("Authorization", "Bearer key-b"));
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
  }

  private void call(GatewayServer gateway) throws Exception {
    assertThat(client.call(gateway.callersAddress(), EmulatedPlatform.IDEMPOTENT, 0).status())
        .isEqualTo(200);
  }

  /** The number of requests in all reports, in which each window counts once. */
  private long reported() {
    Map<Long, JsonNode> windows = new HashMap<>();
    for (EmulatedApi.Taken report : platform.api().taken()) {
      JsonNode counts = report.body().path("counts");
      JsonNode before = windows.put(report.body().path("windowId").asLong(), counts);
      assertThat(before == null ? counts : before)
          .as("counts of window " + report.body().path("windowId") + " by " + report.holder())
          .isEqualTo(counts);
    }
    return windows.values().stream().mapToLong(counts -> counts.path("bakery").asLong()).sum();
  }

  private int holders() {
    return (int) platform.api().taken().stream().map(EmulatedApi.Taken::holder).distinct().count();
  }

  private GatewayServer leader() {
    List<EmulatedApi.Taken> taken = platform.api().taken();
    String holder = taken.get(taken.size() - 1).holder();
    return gateways.get(Integer.parseInt(holder.substring("gateway-".length())) - 1);
  }

  /** The first leader ends right after its report; the next one knows only the restored store. */
  @Test
  void windowThatWasReportedBeforeTheRestoreIsNotReportedWithOtherCounts() throws Exception {
    StoreCopy copy = platform.store().copy();
    call(gateways.get(1));
    await().atMost(LONGEST).until(() -> reported() == 1);
    leader().close();
    gateways.remove(leader());
    platform.restoreStore(copy);
    platform.writeAgain();
    await().atMost(LONGEST).until(() -> reported() >= 1 && holders() == 2);
    call(gateways.get(0));
    await().atMost(LONGEST).until(() -> reported() == 2);
    assertThat(platform.api().taken())
        .as("tokens rise over the restore, or the platform would refuse the new holder")
        .isSortedAccordingTo(Comparator.comparingLong(EmulatedApi.Taken::fencingToken));
  }
}
