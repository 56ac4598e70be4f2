package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.List;
import org.fallturn.node.gateway.GatewayServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request at two model engines at a time: the first answers nothing, is given up,
 * and works on after its connection has ended.
 */
class EngineWorksOnTest {

  private static final Duration LONGEST = Duration.ofSeconds(30);
  private static final Duration WORKS_ON = Duration.ofSeconds(3);
  private static final int PROMPT_TOKENS = 200;

  /** Enough requests to earn the budget of a repeat. */
  private static final int ANSWERS = 40;

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

  private static List<Long> arrivals(EmulatedEngine engine, String requestId) {
    return engine.arrivals().stream()
        .filter(arrival -> arrival.requestId().equals(requestId))
        .map(EmulatedEngine.Arrival::nanos)
        .toList();
  }

  @Test
  void requestGoesOnOnceTheEngineThatWorksOnIsDone() throws Exception {
    EmulatedEngine first = platform.addDecoder("d-1", EmulatedEngine.FIRST_VERSION);
    GatewayServer gateway = platform.addGateway();
    for (int number = 0; number < ANSWERS; number++) {
      client.call(gateway.callersAddress(), EmulatedPlatform.RESUMABLE, PROMPT_TOKENS);
    }
    first.workOnAfterEnd(WORKS_ON);
    first.misbehave(EngineFault.SILENT);
    EmulatedClient.Call call =
        client.send(gateway.callersAddress(), EmulatedPlatform.RESUMABLE, PROMPT_TOKENS, LONGEST);
    await().atMost(LONGEST).until(() -> first.openWork().size() == 1);
    EmulatedEngine second = platform.addDecoder("d-2", EmulatedEngine.FIRST_VERSION);
    await().atMost(LONGEST).until(() -> !arrivals(second, call.requestId()).isEmpty());
    long reached = arrivals(second, call.requestId()).get(0);
    assertThat(first.openWork().get(0).endNanos()).isLessThan(reached);
  }
}
