package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import java.time.Duration;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a request that goes on at a second engine while the first still works on it. An
 * engine sends more bytes behind an answer, which look like an answer of their own and are read in
 * the place of the answer to the next request on the connection. They were not believed, but the
 * connection was kept open, which is what an engine works for.
 */
class UnnamedAnswerTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final String NOT_EXECUTED =
      OneEngineGateway.NOT_EXECUTED_HEADER + ": 1\r\nContent-Length: 0\r\n\r\n";
  private static final String OTHER_REQUEST =
      OneEngineGateway.ID_HEADER + ": before\r\nContent-Length: 0\r\n\r\n";

  private RawEngine first;
  private RawEngine second;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    first = new RawEngine();
    second = new RawEngine();
    gateway = OneEngineGateway.start(RequestKind.IDEMPOTENT, headers -> headers, first, second);
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    first.close();
    second.close();
  }

  /** The next request would take the connection of the one before, if that were still open. */
  private void assertConnectionIsNotUsedAgain(RawEngine engine) throws Exception {
    String id = engine == first ? "e-1" : "e-2";
    try (Socket node = OneEngineGateway.forward(gateway, id, "next", "")) {
      await().atMost(LONGEST).until(() -> engine.got("next"));
      assertThat(engine.connections().get(0).got("next")).isFalse();
      await().atMost(LONGEST).until(() -> engine.connections().get(0).ended());
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 503 Busy\r\n" + NOT_EXECUTED,
        "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + NOT_EXECUTED,
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + OTHER_REQUEST
      })
  void engineIsLeftWhoseAnswerIsNotBelieved(String answer) throws Exception {
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "one", "", 0)) {
      await().atMost(LONGEST).until(() -> first.got("one") || second.got("one"));
      RawEngine asked = first.got("one") ? first : second;
      RawEngine other = asked == first ? second : first;
      asked.connections().get(0).send(answer);
      await().atMost(LONGEST).until(() -> other.got("one"));
      assertConnectionIsNotUsedAgain(asked);
      other.answerIfCome("one");
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 503 Busy\r\n" + NOT_EXECUTED,
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + OTHER_REQUEST
      })
  void engineIsLeftBeforeAnotherNodeIsToldOfTheLoss(String answer) throws Exception {
    try (Socket node = OneEngineGateway.forward(gateway, "e-1", "one", "")) {
      await().atMost(LONGEST).until(() -> first.got("one"));
      first.connections().get(0).send(answer);
      assertThat(OneEngineGateway.readStatus(node)).isEqualTo("HTTP/1.1 502");
      assertConnectionIsNotUsedAgain(first);
    }
  }

  @Test
  void connectionOfANamedRefusalIsKept() throws Exception {
    try (Socket node = OneEngineGateway.forward(gateway, "e-1", "one", "")) {
      await().atMost(LONGEST).until(() -> first.got("one"));
      String named = OneEngineGateway.ID_HEADER + ": one\r\n" + NOT_EXECUTED;
      first.connections().get(0).send("HTTP/1.1 503 Busy\r\n" + named);
      assertThat(OneEngineGateway.readStatus(node)).isEqualTo("HTTP/1.1 503");
      try (Socket next = OneEngineGateway.forward(gateway, "e-1", "two", "")) {
        await().atMost(LONGEST).until(() -> first.connections().get(0).got("two"));
      }
    }
  }
}
