package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
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

  private static final String REST =
      OneEngineGateway.NOT_EXECUTED_HEADER
          + ": 1\r\n"
          + OneEngineGateway.REST_HEADER
          + ": 1\r\nContent-Length: 0\r\n";
  private static final int SMALL_BUFFER_BYTES = 4_096;

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
    RawEngine.Connection connection = at.connectionOf(id);
    connection.send("HTTP/1.1 200 OK\r\n" + CLOSE + named(id) + body);
    return connection;
  }

  private static String named(String id) {
    return OneEngineGateway.ID_HEADER + ": " + id + "\r\n\r\n";
  }

  /** Answers one of two requests so that its connection is kept; the other request goes on. */
  private RawEngine.Connection keepConnectionOf(String id, Socket caller) throws IOException {
    await().atMost(LONGEST).until(() -> engine.got(id) && engine.connections().size() == 2);
    String length = "Content-Length: " + FIRST_EVENT.length() + "\r\n";
    engine.connectionOf(id).send("HTTP/1.1 200 OK\r\n" + length + named(id) + FIRST_EVENT);
    assertThat(OneEngineGateway.readToEnd(caller)).endsWith(LAST_CHUNK);
    return engine.connectionOf(id);
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
    assertThat(answerOfStricken(call("r"), FIRST_EVENT, fate))
        .contains("one")
        .doesNotEndWith(LAST_CHUNK);
  }

  @ParameterizedTest
  @EnumSource(Fate.class)
  void streamThatAnotherNodeForwardsDoesNotLookWhole(Fate fate) throws Exception {
    startGateway(RequestKind.STREAMING);
    assertThat(answerOfStricken(forward("r"), FIRST_EVENT, fate))
        .contains("one")
        .doesNotEndWith(LAST_CHUNK);
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
    assertThat(answerOfStricken(forward("r"), "half of the bo", fate))
        .contains("half of the bo")
        .doesNotEndWith(LAST_CHUNK);
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
      keepConnectionOf("kept", kept).mute();
      begin(engine, "r", FIRST_EVENT).close();
      assertThat(OneEngineGateway.readToEnd(caller)).contains("one").endsWith(LAST_CHUNK);
    }
  }

  /** A process that has ended may have written an answer to another request before. */
  @Test
  void bytesOnAKeptConnectionDoNotShowThatTheEngineRuns() throws Exception {
    startGateway(RequestKind.STREAMING);
    engine.answerReportsWith(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
            + OneEngineGateway.ID_HEADER
            + ": old\r\n\r\nok");
    try (Socket kept = call("kept");
        Socket caller = call("r")) {
      keepConnectionOf("kept", kept);
      engine.refuseConnections();
      begin(engine, "r", FIRST_EVENT).close();
      assertThat(OneEngineGateway.readToEnd(caller)).contains("one").doesNotEndWith(LAST_CHUNK);
    }
  }

  /** A sound engine may say nothing for a second or so. */
  @Test
  void answerIsWholeThoughItsEngineSaysNothingForAMoment() throws Exception {
    startGateway(RequestKind.NON_IDEMPOTENT);
    engine.answerReportsWith("");
    try (Socket caller = call("r")) {
      begin(engine, "r", "body").close();
      await().atMost(LONGEST).until(() -> engine.reportsAsked() > 2);
      engine.answerReportsWith(RawEngine.REPORT);
      assertThat(OneEngineGateway.readToEnd(caller)).startsWith("HTTP/1.1 200").contains("body");
    }
  }

  @Test
  void answerIsWholeThoughItsEngineWantsRestForAMoment() throws Exception {
    startGateway(RequestKind.NON_IDEMPOTENT);
    try (Socket refused = call("refused");
        Socket caller = call("r")) {
      await().atMost(LONGEST).until(() -> engine.got("refused") && engine.got("r"));
      engine.connectionOf("refused").send("HTTP/1.1 503 Busy\r\n" + REST + named("refused"));
      assertThat(OneEngineGateway.readStatus(refused)).isEqualTo("HTTP/1.1 503");
      begin(engine, "r", "body").close();
      assertThat(OneEngineGateway.readToEnd(caller)).startsWith("HTTP/1.1 200").contains("body");
    }
  }

  /** The head alone tells it, and the other node is to learn of it. */
  @Test
  void refusalOfAnEngineThatIsGoneIsForwarded() throws Exception {
    startGateway(RequestKind.NON_IDEMPOTENT);
    try (Socket node = forward("r")) {
      await().atMost(LONGEST).until(() -> engine.got("r"));
      String notRun = OneEngineGateway.NOT_EXECUTED_HEADER + ": 1\r\n";
      RawEngine.Connection connection = engine.connectionOf("r");
      engine.refuseConnections();
      connection.send("HTTP/1.1 503 Busy\r\n" + CLOSE + notRun + named("r"));
      connection.close();
      assertThat(OneEngineGateway.readStatus(node)).isEqualTo("HTTP/1.1 503");
    }
  }

  /** The request fails then, but not its answer. */
  @Test
  void answerBeforeTheEndOfTheRequestDoesNotLookWhole() throws Exception {
    engine.close();
    engine = new RawEngine(new CountDownLatch(1), SMALL_BUFFER_BYTES);
    startGateway(RequestKind.STREAMING);
    int bodyBytes = OneEngineGateway.MAX_BODY_BYTES / 2;
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "r", CLOSE, bodyBytes)) {
      await().atMost(LONGEST).until(() -> engine.connections().size() == 1);
      RawEngine.Connection connection = engine.connections().get(0);
      engine.refuseConnections();
      connection.send("HTTP/1.1 200 OK\r\n" + CLOSE + named("r") + FIRST_EVENT);
      connection.shutDownOutput();
      readUntil(caller, FIRST_EVENT);
      connection.reset();
      assertThat(OneEngineGateway.readToEnd(caller)).doesNotEndWith(LAST_CHUNK);
    }
  }

  private static void readUntil(Socket caller, String end) throws IOException {
    StringBuilder read = new StringBuilder();
    while (read.indexOf(end) < 0) {
      int next = caller.getInputStream().read();
      assertThat(next).as("the answer ends after " + read).isNotNegative();
      read.append((char) next);
    }
  }
}
