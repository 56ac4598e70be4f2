package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import java.time.Duration;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a planned stop of a node that forwards: the node that asked would learn of the end
 * by a connection that is refused, and send the request on while the first engine works on it.
 */
class ForwardedRequestsAtStopTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final String BOUNDS = "grace = \"3s\"";
  private static final String TIME_LEFT = OneEngineGateway.TIME_LEFT_HEADER + ": 30000\r\n";
  private static final String OWNER = ForwardingHeaders.OWNER + ": 127.0.0.1:1\r\n";

  private RawEngine engine;
  private GatewayServer gateway;

  @BeforeEach
  void startGateway() throws Exception {
    engine = new RawEngine();
    gateway = OneEngineGateway.startWithBounds(BOUNDS, RequestKind.IDEMPOTENT, engine);
  }

  @AfterEach
  void stopGateway() throws Exception {
    gateway.close();
    engine.close();
  }

  private static String result(ForwardingResult result) {
    return ForwardingHeaders.RESULT + ": " + result;
  }

  private Socket forward(String id, String headers) throws Exception {
    return OneEngineGateway.forward(
        gateway, "e-1", id, TIME_LEFT + "Connection: close\r\n" + headers);
  }

  @Test
  void requestUnderWayIsAnsweredAsLostBeforeTheProcessEnds() throws Exception {
    try (Socket node = forward("a", "")) {
      await().atMost(LONGEST).until(() -> engine.got("a"));
      OneEngineGateway.beginStop(gateway).join();
      assertThat(gateway.inFlight()).as("requests that the end of the process cuts").isZero();
      assertThat(OneEngineGateway.readToEnd(node)).contains(result(ForwardingResult.LOST));
      await().atMost(LONGEST).until(engine.connectionOf("a")::ended);
    }
  }

  /** The other node sends it on, so that its engine has to have left it first. */
  @Test
  void repeatableRequestIsAnsweredOnceItsModelEngineReportsItNoLonger() throws Exception {
    try (RawEngine model = new RawEngine();
        GatewayServer forwarding = OneEngineGateway.startForModelWithBounds(BOUNDS, model)) {
      model.reportWork(0, "a");
      try (Socket node =
          OneEngineGateway.forward(
              forwarding, "e-1", "a", TIME_LEFT + OWNER + "Connection: close\r\n")) {
        await().atMost(LONGEST).until(() -> model.got("a"));
        Thread stop = OneEngineGateway.beginStop(forwarding);
        await().atMost(LONGEST).until(() -> model.reportsAsked() > 0);
        assertThat(forwarding.inFlight()).isPositive();
        model.reportWork(0);
        assertThat(OneEngineGateway.readToEnd(node)).contains(result(ForwardingResult.LOST));
        stop.join();
      }
    }
  }

  @Test
  void requestThatComesInAStopIsNotSent() throws Exception {
    Thread stop = OneEngineGateway.beginStop(gateway);
    try (Socket node = forward("late", OWNER)) {
      assertThat(OneEngineGateway.readToEnd(node)).contains(result(ForwardingResult.NOT_SENT));
      assertThat(engine.got("late")).isFalse();
    }
    stop.join();
  }
}
