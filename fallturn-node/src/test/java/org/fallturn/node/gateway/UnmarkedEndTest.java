package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against an answer that looks whole though its engine was killed before its end. The answer
 * has neither a length nor chunks, so that its end is that of its connection, and the kernel of a
 * killed process closes connections as the process itself would.
 */
class UnmarkedEndTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final String CLOSE = "Connection: close\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String FIRST_EVENT = "id: 1\ndata: one\n\n";
  private static final String SECOND_EVENT = "id: 2\ndata: two\n\n";

  private RawEngine engine;
  private RawEngine other;
  private GatewayServer gateway;

  /** What becomes of an engine just before the connection of its answer ends. */
  private enum Fate {
    /** Its process was killed. */
    KILLED {
      @Override
      void strike(RawEngine engine) throws IOException {
        engine.close();
      }
    },
    /** Its process stands still, and something between closes the connection. */
    SILENT {
      @Override
      void strike(RawEngine engine) {
        engine.answerReportsWith("");
      }
    },
    /** Another engine has its address. */
    REPLACED {
      @Override
      void strike(RawEngine engine) {
        engine.answerReportsWith("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
      }
    };

    abstract void strike(RawEngine engine) throws IOException;
  }

  @BeforeEach
  void startEngines() throws Exception {
    engine = new RawEngine();
    other = new RawEngine();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    engine.close();
    other.close();
  }

  private void startGateway(RequestKind kind) throws Exception {
    gateway = OneEngineGateway.start(kind, headers -> headers, engine);
  }

  private Socket call(String id) throws IOException {
    return OneEngineGateway.send(gateway.callersAddress(), id, CLOSE, 0);
  }

  private Socket forward(String id) throws IOException {
    return OneEngineGateway.forward(gateway, "e-1", id, CLOSE);
  }

  /** Sends the beginning of an answer that does not tell its end. */
  private static RawEngine.Connection begin(RawEngine at, String id, String body) {
    await().atMost(LONGEST).until(() -> at.got(id));
    RawEngine.Connection connection =
        at.connections().stream().filter(one -> one.got(id)).findFirst().orElseThrow();
    String named = OneEngineGateway.ID_HEADER + ": " + id + "\r\n\r\n";
    connection.send("HTTP/1.1 200 OK\r\n" + CLOSE + named + body);
    return connection;
  }

  private void answerWithLength(String id) {
    RawEngine.Connection connection =
        engine.connections().stream().filter(one -> one.got(id)).findFirst().orElseThrow();
    String named = OneEngineGateway.ID_HEADER + ": " + id + "\r\n\r\n";
    String length = "Content-Length: " + FIRST_EVENT.length() + "\r\n";
    connection.send("HTTP/1.1 200 OK\r\n" + length + named + FIRST_EVENT);
  }

  private String answerOfStricken(Socket caller, String body, Fate fate) throws IOException {
    try (caller) {
      RawEngine.Connection connection = begin(engine, "r", body);
      fate.strike(engine);
      connection.close();
      return OneEngineGateway.readToEnd(caller);
    }
  }

  @ParameterizedTest
  @EnumSource(Fate.class)
  void streamThatEndsBetweenTwoEventsDoesNotLookWhole(Fate fate) throws Exception {
    startGateway(RequestKind.STREAMING);
    assertThat(answerOfStricken(call("r"), FIRST_EVENT, fate)).doesNotEndWith(LAST_CHUNK);
  }

  @ParameterizedTest
  @EnumSource(Fate.class)
  void streamThatAnotherNodeForwardsDoesNotLookWhole(Fate fate) throws Exception {
    startGateway(RequestKind.STREAMING);
    assertThat(answerOfStricken(forward("r"), FIRST_EVENT, fate)).doesNotEndWith(LAST_CHUNK);
  }

  @ParameterizedTest
  @EnumSource(Fate.class)
  void bodyThatIsNoStreamDoesNotLookWhole(Fate fate) throws Exception {
    startGateway(RequestKind.NON_IDEMPOTENT);
    assertThat(answerOfStricken(call("r"), "half of the bo", fate)).startsWith("HTTP/1.1 502");
  }

  @ParameterizedTest
  @EnumSource(Fate.class)
  void bodyThatAnotherNodeForwardsDoesNotLookWhole(Fate fate) throws Exception {
    startGateway(RequestKind.NON_IDEMPOTENT);
    assertThat(answerOfStricken(forward("r"), "half of the bo", fate)).doesNotEndWith(LAST_CHUNK);
  }

  @Test
  void streamThatMayBeResumedGoesOnAtAnotherEngine() throws Exception {
    gateway =
        OneEngineGateway.start(RequestKind.STREAMING, true, headers -> headers, engine, other);
    try (Socket caller = call("r")) {
      await().atMost(LONGEST).until(() -> engine.got("r") || other.got("r"));
      RawEngine asked = engine.got("r") ? engine : other;
      RawEngine next = asked == engine ? other : engine;
      begin(asked, "r", FIRST_EVENT);
      asked.close();
      begin(next, "r", SECOND_EVENT).close();
      assertThat(OneEngineGateway.readToEnd(caller))
          .contains("one")
          .containsOnlyOnce("two")
          .endsWith(LAST_CHUNK);
    }
  }

  @Test
  void answersOfARunningEngineAreWhole() throws Exception {
    startGateway(RequestKind.STREAMING);
    try (Socket direct = call("d");
        Socket forwarded = forward("f")) {
      begin(engine, "d", FIRST_EVENT).close();
      begin(engine, "f", FIRST_EVENT).close();
      assertThat(OneEngineGateway.readToEnd(direct)).contains("one").endsWith(LAST_CHUNK);
      assertThat(OneEngineGateway.readToEnd(forwarded)).contains("one").endsWith(LAST_CHUNK);
    }
  }

  /** Open connections may go silent for good while new ones work. */
  @Test
  void answerIsWholeThoughAKeptConnectionToItsEngineIsSilent() throws Exception {
    startGateway(RequestKind.STREAMING);
    try (Socket kept = call("kept");
        Socket caller = call("r")) {
      await().atMost(LONGEST).until(() -> engine.got("kept") && engine.got("r"));
      engine.connections().forEach(RawEngine.Connection::mute);
      answerWithLength("kept");
      assertThat(OneEngineGateway.readStatus(kept)).isEqualTo("HTTP/1.1 200");
      begin(engine, "r", FIRST_EVENT).close();
      assertThat(OneEngineGateway.readToEnd(caller)).endsWith(LAST_CHUNK);
    }
  }
}
