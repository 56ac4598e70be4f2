package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.fallturn.node.gateway.GatewayServer;
import org.fallturn.rehearsal.emulator.EmulatedClient.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * One gateway gets what otherwise all get. It used an eighth of the connections that an engine
 * takes, so that what came beyond waited in the gateway while the engine had room, and was given up
 * there.
 */
class CrowdedGatewayTest {

  private static final int SHORT_PROMPT = 300;

  /** More than an eighth of the connections that an engine takes from all gateways together. */
  private static final int REQUESTS = 48;

  private static final Duration LONGEST = Duration.ofSeconds(15);

  private EmulatedPlatform platform;
  private EmulatedClient client;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    client = new EmulatedClient();
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
  }

  @Test
  void requestsOfAllReachTheEnginesThroughOneGateway() throws Exception {
    EmulatedEngine engine = platform.addEngine("d-1", EmulatedPlatform.MODEL_SERVICE, "decode");
    GatewayServer crowded = platform.addGateway();
    GatewayServer other = platform.addGateway(crowded.peersAddress());
    await().atMost(LONGEST).until(() -> crowded.nodeCount() == 2 && other.nodeCount() == 2);
    CountDownLatch gate = new CountDownLatch(1);
    engine.holdRunsUntil(gate);
    List<Call> calls = new ArrayList<>();
    for (int call = 0; call < REQUESTS; call++) {
      calls.add(
          client.send(
              crowded.callersAddress(),
              EmulatedPlatform.STREAM,
              SHORT_PROMPT,
              EmulatedClient.LONGEST));
    }
    await().atMost(LONGEST).until(() -> engine.runs().size() >= REQUESTS);
    gate.countDown();
    for (Call call : calls) {
      assertThat(call.await().body()).isEqualTo(EmulatedEngine.wholeStream());
    }
    assertThat(engine.runs()).hasSize(REQUESTS);
  }
}
