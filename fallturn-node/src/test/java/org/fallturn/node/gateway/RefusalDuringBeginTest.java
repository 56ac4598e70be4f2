package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.lang.reflect.Proxy;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.node.settings.GatewaySettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a caller that is told that its request never runs while that is still open: it was
 * aborted by one thread while another one began to send it, and counted as not sent before the HTTP
 * client had reported its end.
 */
class RefusalDuringBeginTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final String FAULT = "X-Fault";

  private final RequestGate gate = new RequestGate();
  private final CompletableFuture<Integer> exit = new CompletableFuture<>();
  private RawEngine engine;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    engine = new RawEngine();
    GatewaySettings settings = OneEngineGateway.settings();
    gateway =
        new GatewayServer(
            settings,
            OneEngineGateway.platform(engine.address(), holdingBegins()),
            CallerSocket.bind(settings.callers()),
            exit::complete);
    gateway.start();
    await().atMost(LONGEST).until(gateway::ready);
  }

  @AfterEach
  void stop() throws Exception {
    gate.open();
    gateway.close();
    engine.close();
  }

  /** Holds requests while they begin, which is when the time left is set. */
  private EngineProtocol holdingBegins() {
    EngineProtocol protocol = OneEngineGateway.engines(headers -> headers);
    return (EngineProtocol)
        Proxy.newProxyInstance(
            EngineProtocol.class.getClassLoader(),
            new Class<?>[] {EngineProtocol.class},
            (self, method, arguments) -> {
              switch (method.getName()) {
                case "requestHeaders" -> endDispatchOnDemand((HttpFields) arguments[0]);
                case "setTimeLeft" -> gate.pass((HttpFields) arguments[0]);
                default -> {}
              }
              return method.invoke(protocol, arguments);
            });
  }

  private static void endDispatchOnDemand(HttpFields headers) {
    if (headers.contains(FAULT)) {
      throw new NoClassDefFoundError("a/B");
    }
  }

  private Socket call(String id, String headers) throws Exception {
    return OneEngineGateway.send(gateway.callersAddress(), id, headers, 0);
  }

  @Test
  void requestThatIsAbortedWhileItBeginsMayRun() throws Exception {
    try (Socket held = call("held", RequestGate.HOLD)) {
      gate.awaitHeld();
      try (Socket fatal = call("fatal", FAULT + ": 1\r\n")) {
        assertThat(OneEngineGateway.readStatus(fatal)).isEqualTo("HTTP/1.1 503");
      }
      assertThat(OneEngineGateway.readStatus(held)).isEqualTo("HTTP/1.1 502");
    }
  }

  /** A request that waits for a connection when it is aborted certainly never runs. */
  @Test
  void requestThatIsAbortedBeforeItBeginsHasNotRun() throws Exception {
    List<Socket> callers = new ArrayList<>();
    for (int number = 0; number < OneEngineGateway.ENGINE_CONNECTIONS / 2; number++) {
      String id = "sent-" + number;
      callers.add(call(id, ""));
      await().atMost(LONGEST).until(() -> engine.got(id));
    }
    try (Socket queued = call("queued", "");
        Socket fatal = call("fatal", FAULT + ": 1\r\n")) {
      assertThat(OneEngineGateway.readStatus(fatal)).isEqualTo("HTTP/1.1 503");
      assertThat(OneEngineGateway.readStatus(queued)).isEqualTo("HTTP/1.1 503");
      assertThat(engine.got("queued")).isFalse();
    }
    for (Socket sent : callers) {
      assertThat(OneEngineGateway.readStatus(sent)).isEqualTo("HTTP/1.1 502");
      sent.close();
    }
  }
}
