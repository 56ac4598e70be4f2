package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.regex.Pattern;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that goes on at a second engine while the first still works on it. The
 * attempt was given up by an order to the HTTP client, which carries it out behind what one of its
 * threads does for the same answer; the next send did not wait for it.
 */
class RunOverBeforeNextSendTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final String SILENT_SUCCESS =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
          + (OneEngineGateway.ID_HEADER + ": once-at-a-time\r\n")
          + RequestGate.HOLD
          + "\r\n";

  private final RequestGate gate = new RequestGate();
  private List<RawEngine> engines;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    engines = List.of(new RawEngine(), new RawEngine());
    gateway =
        OneEngineGateway.start(RequestKind.IDEMPOTENT, gate::pass, engines.get(0), engines.get(1));
  }

  @AfterEach
  void stop() throws Exception {
    gate.open();
    gateway.close();
    for (RawEngine engine : engines) {
      engine.close();
    }
  }

  private long enginesThatGot(String requestId) {
    return engines.stream().filter(engine -> engine.got(requestId)).count();
  }

  private RawEngine engineThatGot(String requestId) {
    await().atMost(LONGEST).until(() -> enginesThatGot(requestId) > 0);
    return engines.stream().filter(engine -> engine.got(requestId)).findFirst().orElseThrow();
  }

  /** Number of lines that the gateway has logged of an event. */
  private long logged(LogEvent event) {
    Pattern count = Pattern.compile("event=\"" + event + "\",detail=\"[^\"]*\"} (\\d+)");
    return count
        .matcher(gateway.metrics().text())
        .results()
        .mapToLong(match -> Long.parseLong(match.group(1)))
        .sum();
  }

  /** Whatever the dispatch thread had begun before is done when this request has been answered. */
  private void serveAnother() throws Exception {
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "other", "", 0)) {
      engineThatGot("other").answerIfCome("other");
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
    }
  }

  @Test
  void engineThatAnswersNothingIsLeftBeforeAnotherIsAsked() throws Exception {
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "once-at-a-time", "", 0)) {
      RawEngine first = engineThatGot("once-at-a-time");
      first.connections().get(0).send(SILENT_SUCCESS);
      gate.awaitHeld();
      await().atMost(LONGEST).until(() -> logged(LogEvent.STUCK) == 1);
      serveAnother();
      assertThat(logged(LogEvent.PLACED)).isEqualTo(2);
      assertThat(first.connections().get(0).ended()).isFalse();
      gate.open();
      await().atMost(LONGEST).until(() -> enginesThatGot("once-at-a-time") == 2);
      await().atMost(LONGEST).until(() -> first.connections().get(0).ended());
    }
  }
}
