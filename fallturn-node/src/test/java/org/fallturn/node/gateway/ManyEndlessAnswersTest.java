package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.UncheckedIOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node whose memory the answers of broken engines fill together, each within the
 * bound of one answer.
 */
class ManyEndlessAnswersTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);

  private static final int ENGINES = 16;

  /** Two for each engine, which any node may open. */
  private static final int REQUESTS = 32;

  private static final int MOST_HELD_BYTES = 16 << 20;

  private static final int LARGE_FAILURE_BYTES = 1_000_000;
  private static final int HEAD_BYTES = 60_000;

  /** So many of this size take nearly all of the memory, and none is cut. */
  private static final int FILLING_FAILURES = 8;

  private static final int FILLING_FAILURE_BYTES = 1_040_000;
  private static final int GOOD_ANSWER_BYTES = 250_000;

  /** What the many short fields of such a head cost at least, as objects. */
  private static final int HEAD_COST_BYTES = 1 << 20;

  private final List<RawEngine> engines = new ArrayList<>();
  private final List<Socket> callers = new ArrayList<>();
  private GatewayServer gateway;

  @BeforeEach
  void startGateway() throws Exception {
    for (int number = 0; number < ENGINES; number++) {
      engines.add(new RawEngine());
    }
    gateway =
        OneEngineGateway.start(
            RequestKind.NON_IDEMPOTENT, headers -> headers, engines.toArray(RawEngine[]::new));
  }

  @AfterEach
  void stopGateway() throws Exception {
    for (Socket caller : callers) {
      caller.close();
    }
    gateway.close();
    for (RawEngine engine : engines) {
      engine.close();
    }
  }

  private static String id(int number) {
    return "r-" + number;
  }

  private Optional<RawEngine.Connection> connectionOf(String id) {
    return engines.stream()
        .filter(engine -> engine.got(id))
        .findFirst()
        .map(engine -> engine.connectionOf(id));
  }

  private RawEngine.Connection awaitConnection(String id) {
    await().atMost(LONGEST).until(() -> connectionOf(id).isPresent());
    return connectionOf(id).orElseThrow();
  }

  private Socket send(String id) throws Exception {
    Socket caller = OneEngineGateway.send(gateway.callersAddress(), id, "", 0);
    callers.add(caller);
    return caller;
  }

  /**
   * Has requests answered with bytes that are held there, once all have come: an engine whose
   * answer is cut may get no more of them. Returns the connections.
   */
  private List<RawEngine.Connection> answerAll(int requests, String head, String bytes)
      throws Exception {
    for (int number = 0; number < requests; number++) {
      send(id(number));
    }
    List<RawEngine.Connection> answering = new ArrayList<>();
    for (int number = 0; number < requests; number++) {
      answering.add(awaitConnection(id(number)));
    }
    for (int number = 0; number < requests; number++) {
      try {
        answering.get(number).send(head.formatted(id(number)) + bytes);
      } catch (UncheckedIOException e) {
        // The node closed the connection.
      }
    }
    return answering;
  }

  private static long open(List<RawEngine.Connection> connections) {
    return connections.stream().filter(connection -> !connection.ended()).count();
  }

  private static String head(String status) {
    return "HTTP/1.1 " + status + "\r\n" + OneEngineGateway.ID_HEADER + ": %s\r\n";
  }

  private List<RawEngine.Connection> holdFailures(int requests, int bytes) throws Exception {
    return answerAll(requests, head("500 Failed") + "\r\n", "a".repeat(bytes));
  }

  private long reservedBytes() {
    return Pattern.compile("answer_bytes (\\d+)")
        .matcher(gateway.metrics().text())
        .results()
        .mapToLong(match -> Long.parseLong(match.group(1)))
        .sum();
  }

  @Test
  void largeFailuresAreHeldTogetherWithinABound() throws Exception {
    List<RawEngine.Connection> held = holdFailures(REQUESTS, LARGE_FAILURE_BYTES);
    await()
        .atMost(LONGEST)
        .untilAsserted(
            () ->
                assertThat(open(held) * LARGE_FAILURE_BYTES).isLessThanOrEqualTo(MOST_HELD_BYTES));
  }

  @Test
  void headsOfManyFieldsAreHeldTogetherWithinABound() throws Exception {
    String field = "a:\r\n";
    List<RawEngine.Connection> held =
        answerAll(REQUESTS, head("200 OK"), field.repeat(HEAD_BYTES / field.length()));
    await()
        .atMost(LONGEST)
        .untilAsserted(
            () -> assertThat(open(held) * HEAD_COST_BYTES).isLessThanOrEqualTo(MOST_HELD_BYTES));
  }

  @Test
  void goodLargeAnswerIsRelayedThoughOthersTakeTheMemory() throws Exception {
    holdFailures(FILLING_FAILURES, FILLING_FAILURE_BYTES);
    String body = "b".repeat(GOOD_ANSWER_BYTES);
    await().atMost(LONGEST).until(() -> MOST_HELD_BYTES - reservedBytes() < GOOD_ANSWER_BYTES);
    Socket caller = send("good");
    awaitConnection("good")
        .send(
            head("200 OK").formatted("good")
                + "Connection: close\r\nContent-Length: "
                + (body.length() + "\r\n\r\n" + body));
    assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
    byte[] answer = caller.getInputStream().readNBytes(body.length());
    assertThat(answer).hasSize(body.length());
  }

  /** Room is given back, however the answers end. */
  @Test
  void memoryIsFreeAgainOnceTheAnswersHaveEnded() throws Exception {
    List<RawEngine.Connection> held = holdFailures(REQUESTS, LARGE_FAILURE_BYTES);
    await().atMost(LONGEST).until(() -> reservedBytes() > 0);
    held.forEach(RawEngine.Connection::close);
    await().atMost(LONGEST).until(() -> reservedBytes() == 0 && gateway.inFlight() == 0);
  }
}
