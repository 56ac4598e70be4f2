package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that a planned stop cuts while an engine runs it: its head came before
 * the stop, its body ended so late that the process was about to end, and only the head was
 * compared with the stop.
 */
class SlowBodyAtStopTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);

  @Test
  void requestWhoseBodyEndsWhenNoneAreTakenIsRefusedAsNotRun() throws Exception {
    try (RawEngine engine = new RawEngine();
        GatewayServer gateway = OneEngineGateway.start(engine, headers -> headers)) {
      NetworkAddress address = gateway.callersAddress();
      try (Socket caller = new Socket(address.host(), address.port())) {
        caller.setSoTimeout((int) LONGEST.toMillis());
        write(
            caller,
            "POST /x HTTP/1.1\r\nHost: host\r\n%s: slow\r\nContent-Length: 2\r\n\r\na"
                .formatted(OneEngineGateway.ID_HEADER));
        await().atMost(LONGEST).until(() -> gateway.inFlight() == 1);
        Thread stop = OneEngineGateway.beginStop(gateway);
        await().atMost(LONGEST).until(() -> !gateway.takesRequests());
        write(caller, "b");
        assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 503");
        assertThat(engine.got("slow")).isFalse();
        stop.join();
      }
    }
  }

  private static void write(Socket caller, String text) throws Exception {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }
}
