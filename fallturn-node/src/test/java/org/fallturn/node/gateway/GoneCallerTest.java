package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that reach an engine long after their callers have left. A node on a busy
 * machine placed requests whose time was over, and sent others that had waited in the HTTP client
 * for a connection: the end of a request was known only to the dispatch thread, behind all events
 * that came before. The tests hold that thread while callers leave.
 */
class GoneCallerTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final Duration DEADLINE = Duration.ofSeconds(100);
  private static final Duration WAIT = Duration.ofMillis(300);
  private static final Duration SHORT_DEADLINE = Duration.ofMillis(150);

  /** More requests than the node has connections to the engine. */
  private static final int MORE_THAN_CONNECTIONS = OneEngineGateway.ENGINE_CONNECTIONS;

  /** As many as the tests use at once, so that no request waits for a new one. */
  private static final int OPEN_CONNECTIONS = 3;

  /** More than the engine's receive buffer, and less than what the node's kernel may hold. */
  private static final int LARGE_BODY = 1_000_000;

  private static final int SMALL_BUFFER = 4_096;

  private final RequestGate gate = new RequestGate();
  private final List<Socket> callers = new ArrayList<>();
  private RawEngine engine;
  private GatewayServer gateway;

  @AfterEach
  void stop() throws Exception {
    gate.open();
    for (Socket caller : callers) {
      caller.close();
    }
    gateway.close();
    engine.close();
  }

  private void start(RawEngine before) throws Exception {
    engine = before;
    gateway = OneEngineGateway.start(engine, gate::pass);
  }

  private Socket send(String id, String headers, int bodyBytes) {
    try {
      Socket caller = OneEngineGateway.send(gateway.callersAddress(), id, headers, bodyBytes);
      callers.add(caller);
      return caller;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Socket send(String id) {
    return send(id, "", 0);
  }

  /** Holds the dispatch thread with a request of its own. */
  private void holdDispatch() throws InterruptedException {
    send("holds", RequestGate.HOLD, 0);
    gate.awaitHeld();
  }

  /** Answers requests with these ids, each as soon as it has come. */
  private void answerAll(String prefix, int count) {
    Set<String> left = new HashSet<>();
    IntStream.range(0, count).forEach(number -> left.add(prefix + number));
    await()
        .atMost(LONGEST)
        .untilAsserted(
            () -> {
              left.removeIf(engine::answerIfCome);
              assertThat(left).as("requests that have not come").isEmpty();
            });
  }

  private void sendAll(String prefix, int count) {
    for (int number = 0; number < count; number++) {
      send(prefix + number);
    }
    awaitInFlight(count);
  }

  private void openConnections() throws Exception {
    sendAll("opens-", OPEN_CONNECTIONS);
    answerAll("opens-", OPEN_CONNECTIONS);
    awaitInFlight(0);
  }

  private void awaitInFlight(int requests) {
    await().atMost(LONGEST).until(() -> gateway.inFlight() == requests);
  }

  /** Waits until the dispatch thread has handled all that came before. */
  private void awaitDispatched() throws IOException {
    try (Socket last = send("last")) {
      await().atMost(LONGEST).until(() -> engine.got("last"));
    }
  }

  @Test
  void requestOfACallerWhoLeftWhileItWaitedForTheDispatchThreadIsNotSent() throws Exception {
    start(new RawEngine());
    openConnections();
    holdDispatch();
    Socket gone = send("gone");
    awaitInFlight(2);
    gone.close();
    gate.open();
    awaitDispatched();
    assertThat(engine.got("holds")).isTrue();
    assertThat(engine.got("gone")).isFalse();
  }

  @Test
  void requestWhoseTimePassedWhileItWaitedForTheDispatchThreadIsNotSent() throws Exception {
    start(new RawEngine());
    openConnections();
    holdDispatch();
    String deadline = OneEngineGateway.DEADLINE_HEADER + ": " + SHORT_DEADLINE.toMillis() + "\r\n";
    try (Socket late = send("late", deadline, 0)) {
      awaitInFlight(2);
      Thread.sleep(SHORT_DEADLINE.toMillis());
      gate.open();
      awaitDispatched();
      assertThat(engine.got("late")).isFalse();
      assertThat(late.getInputStream().read()).as("answered").isPositive();
    }
  }

  /** The client sends it from its queue when a connection is free, without the dispatch thread. */
  @Test
  void requestOfACallerWhoLeftWhileItWaitedForAConnectionIsNotSent() throws Exception {
    start(new RawEngine());
    sendAll("early-", MORE_THAN_CONNECTIONS);
    Socket gone = send("gone");
    awaitInFlight(MORE_THAN_CONNECTIONS + 1);
    holdDispatch();
    gone.close();
    answerAll("early-", MORE_THAN_CONNECTIONS);
    gate.open();
    awaitDispatched();
    assertThat(engine.got("gone")).isFalse();
  }

  /** The time that it waited in the client was given to the engine as well. */
  @Test
  void engineIsToldTheTimeThatIsLeftWhenTheRequestIsSent() throws Exception {
    start(new RawEngine());
    sendAll("early-", MORE_THAN_CONNECTIONS);
    send("waits", OneEngineGateway.DEADLINE_HEADER + ": " + DEADLINE.toMillis() + "\r\n", 0);
    awaitInFlight(MORE_THAN_CONNECTIONS + 1);
    Thread.sleep(WAIT.toMillis());
    answerAll("early-", MORE_THAN_CONNECTIONS);
    await().atMost(LONGEST).until(() -> engine.got("waits"));
    long left = Long.parseLong(engine.headerOf("waits", OneEngineGateway.TIME_LEFT_HEADER));
    assertThat(left).isPositive().isLessThanOrEqualTo(DEADLINE.minus(WAIT).toMillis());
  }

  /** What the kernel held of it was delivered when the engine read again. */
  @Test
  void engineThatReadsAgainGetsNoMoreOfARequestThatWasGivenUp() throws Exception {
    CountDownLatch reads = new CountDownLatch(1);
    start(new RawEngine(reads, SMALL_BUFFER));
    Socket gone = send("gone", "", LARGE_BODY);
    await().atMost(LONGEST).until(() -> !engine.connections().isEmpty());
    awaitInFlight(1);
    gone.close();
    awaitInFlight(0);
    reads.countDown();
    await().atMost(LONGEST).until(() -> engine.connections().get(0).ended());
    assertThat(engine.connections().get(0).bytes()).isLessThan(LARGE_BODY);
  }

  /** Its close was seen only when the answer was written. */
  @Test
  void callerWhoHasSentABeginOfTheNextRequestIsSeenToLeave() throws Exception {
    start(new RawEngine());
    Socket gone = send("gone");
    await().atMost(LONGEST).until(() -> engine.got("gone"));
    gone.getOutputStream().write("POST /x HT".getBytes(StandardCharsets.US_ASCII));
    gone.close();
    await().atMost(LONGEST).until(() -> gateway.inFlight() == 0);
    await().atMost(LONGEST).until(() -> engine.connections().get(0).ended());
  }
}
