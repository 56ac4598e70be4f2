package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.fallturn.node.gateway.GatewayServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a gateway that has just started knows of the engines' caches, without any other gateway. */
class CacheKnowledgeTest {

  private static final int LONG_PROMPT = 17_000;
  private static final int PREFILL_ENGINES = 6;
  private static final Duration LONGEST = Duration.ofSeconds(15);

  private EmulatedPlatform platform;
  private EmulatedClient client;
  private List<EmulatedEngine> prefill;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    client = new EmulatedClient();
    platform.addEngine("d-1", EmulatedPlatform.MODEL_SERVICE, "decode");
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
  }

  private EmulatedEngine addPrefill(int number) {
    try {
      return platform.addEngine("p-" + number, EmulatedPlatform.MODEL_SERVICE, "prefill");
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Whether the last prompt was read where its shared part is kept, or copied from there. */
  private boolean shared(EmulatedEngine keeper) {
    if (keeper.heads().size() == 2) {
      return true;
    }
    String address = keeper.address().toString();
    return prefill.stream()
        .flatMap(engine -> engine.heads().stream())
        .anyMatch(head -> address.equals(head.get("Kv-Fetch")));
  }

  @Test
  void startedGatewayMakesUseOfASharedPartThatAnEngineKeeps() throws Exception {
    EmulatedEngine keeper = addPrefill(0);
    try (GatewayServer first = platform.addGateway()) {
      client.call(first.callersAddress(), EmulatedPlatform.STREAM, LONG_PROMPT);
      assertThat(keeper.heads()).hasSize(1);
    }
    prefill = IntStream.range(1, PREFILL_ENGINES).mapToObj(this::addPrefill).toList();
    GatewayServer second = platform.addGateway();
    await().atMost(LONGEST).until(() -> second.cachesKnown() == PREFILL_ENGINES + 1);
    client.call(second.callersAddress(), EmulatedPlatform.STREAM, LONG_PROMPT);
    assertThat(shared(keeper)).isTrue();
  }
}
