package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gateway.GatewayServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Whether gateways order engines to read prompts when prompts wait, one gateway at a time. */
class StageOrdersTest {

  private static final int LONG_PROMPT = 17_000;
  private static final int DECODE_ENGINES = 3;
  private static final Duration LONGEST = Duration.ofSeconds(20);

  private EmulatedPlatform platform;
  private EmulatedClient client;
  private EmulatedEngine prefill;
  private final List<EmulatedEngine> decode = new ArrayList<>();
  private final List<GatewayServer> gateways = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    client = new EmulatedClient();
    prefill = platform.addEngine("p-1", EmulatedPlatform.MODEL_SERVICE, "prefill");
    for (int number = 0; number < DECODE_ENGINES; number++) {
      decode.add(platform.addEngine("d-" + number, EmulatedPlatform.MODEL_SERVICE, "decode"));
    }
    gateways.add(platform.addGateway());
    gateways.add(platform.addGateway(gateways.get(0).peersAddress()));
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
  }

  /** Prompts that the engine has taken and does not read. */
  private void letPromptsWait() throws Exception {
    prefill.misbehave(EngineFault.SILENT);
    for (GatewayServer gateway : gateways) {
      NetworkAddress address = gateway.callersAddress();
      for (int prompt = 0; prompt < 4; prompt++) {
        client.send(address, EmulatedPlatform.STREAM, LONG_PROMPT, LONGEST);
      }
    }
  }

  private List<String> orders() {
    return decode.stream().flatMap(engine -> engine.takenOrders().stream()).toList();
  }

  @Test
  void waitingPromptsMakeOneGatewayOrderADecodeEngineToRead() throws Exception {
    letPromptsWait();
    await().atMost(LONGEST).until(() -> !orders().isEmpty());
    assertThat(orders())
        .allSatisfy(order -> assertThat(order).contains("\"holder\":\"gateway-1\""));
    assertThat(orders().get(0)).contains("\"stage\":\"prefill\"").contains("\"expected\":0");
  }

  @Test
  void nothingIsOrderedWithoutTheStore() throws Exception {
    platform.store().misbehave(StoreFault.DOWN);
    letPromptsWait();
    await().atMost(LONGEST).until(() -> gateways.get(0).stageChangesAbandoned() > 0);
    assertThat(orders()).isEmpty();
  }
}
