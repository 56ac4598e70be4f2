package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that a planned stop takes or holds and then cuts without an answer, and
 * against engines that work on for a process that has ended.
 */
class AnswersAtTheEndOfAStopTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final long GRACE_MILLIS = 3_000;
  private static final String BOUNDS = "grace = \"" + GRACE_MILLIS + "ms\"";

  /** More than the engine gets at a time, so that some wait for a connection to it. */
  private static final int REQUESTS = OneEngineGateway.ENGINE_CONNECTIONS;

  @ParameterizedTest
  @EnumSource(names = {"IDEMPOTENT", "NON_IDEMPOTENT"})
  void everyRequestThatAnEngineHoldsIsAnsweredBeforeTheProcessEnds(RequestKind kind)
      throws Exception {
    try (RawEngine engine = new RawEngine();
        GatewayServer gateway = OneEngineGateway.startWithBounds(BOUNDS, kind, engine)) {
      List<Socket> callers = new ArrayList<>();
      callers.add(OneEngineGateway.send(gateway.callersAddress(), "before", "", 0));
      await().atMost(LONGEST).until(() -> engine.got("before"));
      Thread stop = OneEngineGateway.beginStop(gateway);
      for (int number = 0; number < REQUESTS; number++) {
        callers.add(OneEngineGateway.send(gateway.callersAddress(), "late-" + number, "", 0));
      }
      stop.join();
      assertThat(gateway.inFlight()).as("requests that the end of the process cuts").isZero();
      for (Socket caller : callers) {
        assertThat(OneEngineGateway.readStatus(caller)).isIn("HTTP/1.1 502", "HTTP/1.1 503");
        caller.close();
      }
    }
  }

  @Test
  void engineIsToldNoMoreTimeThanTheProcessHas() throws Exception {
    try (RawEngine engine = new RawEngine();
        GatewayServer gateway =
            OneEngineGateway.startWithBounds(BOUNDS, RequestKind.NON_IDEMPOTENT, engine)) {
      Thread stop = OneEngineGateway.beginStop(gateway);
      try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "late", "", 0)) {
        await().atMost(LONGEST).until(() -> engine.got("late"));
        String told = engine.headerOf("late", OneEngineGateway.TIME_LEFT_HEADER);
        assertThat(Long.parseLong(told)).isLessThan(GRACE_MILLIS);
        engine.answerIfCome("late");
        assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
      }
      stop.join();
    }
  }

  @Test
  void requestThatNoEngineCanHaveRunIsRefusedAsNotRun() throws Exception {
    try (RawEngine engine = new RawEngine();
        GatewayServer gateway =
            OneEngineGateway.startWithBounds(BOUNDS, RequestKind.NON_IDEMPOTENT, engine)) {
      engine.close();
      Thread stop = OneEngineGateway.beginStop(gateway);
      try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "late", "", 0)) {
        assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 503");
      }
      stop.join();
    }
  }

  @Test
  void streamUnderWayIsBrokenOffWithoutLookingWhole() throws Exception {
    try (RawEngine engine = new RawEngine();
        GatewayServer gateway =
            OneEngineGateway.startWithBounds(BOUNDS, RequestKind.STREAMING, engine)) {
      try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "stream", "", 0)) {
        await().atMost(LONGEST).until(() -> engine.got("stream"));
        engine
            .connectionOf("stream")
            .send(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                    + (OneEngineGateway.ID_HEADER + ": stream\r\n\r\n")
                    + "c\r\nid: 1\ndata\n\n\r\n");
        OneEngineGateway.beginStop(gateway).join();
        assertThat(gateway.inFlight()).isZero();
        String answer = OneEngineGateway.readToEnd(caller);
        assertThat(answer).contains("id: 1").doesNotContain("\r\n0\r\n\r\n");
        await().atMost(LONGEST).until(engine.connectionOf("stream")::ended);
      }
    }
  }
}
