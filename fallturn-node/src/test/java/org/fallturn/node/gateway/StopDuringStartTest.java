package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a planned stop that comes while the node starts: callers are served before the
 * start has ended, and what the stop closes is then started.
 */
class StopDuringStartTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);

  @Test
  void requestThatComesBeforeTheStartHasEndedIsAnswered() throws Exception {
    try (RawEngine engine = new RawEngine();
        GatewayServer gateway =
            new GatewayServer(
                OneEngineGateway.settings(),
                OneEngineGateway.platform(
                    engine.address(), OneEngineGateway.engines(headers -> headers)))) {
      Thread stop = OneEngineGateway.beginStop(gateway);
      await().atMost(LONGEST).until(() -> stop.getState() == Thread.State.TIMED_WAITING);
      gateway.start();
      try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "a", "", 0)) {
        await().atMost(LONGEST).until(() -> engine.answerIfCome("a"));
        assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
      }
      stop.join();
      assertThat(gateway.inFlight()).isZero();
      assertThat(gateway.takesRequests()).isFalse();
    }
  }
}
