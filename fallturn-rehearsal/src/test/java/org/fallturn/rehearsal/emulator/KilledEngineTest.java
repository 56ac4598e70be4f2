package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.time.Duration;
import org.fallturn.node.gateway.GatewayServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an answer that looks whole though its engine was killed before its end. The answer
 * has neither a length nor chunks, so that it ends with its connection, which the kernel closes in
 * an orderly way between two whole events.
 */
class KilledEngineTest {

  private static final Duration LONGEST = Duration.ofSeconds(30);
  private static final String CLOSE = "Connection: close\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final String FIRST_EVENT = StreamEvents.event(1, EmulatedEngine.FIRST_VERSION);

  /** Half of it is more than a gateway keeps of an answer before it passes it on. */
  private static final int LONG_ANSWER_BYTES = 1_000_000;

  /** Enough requests to earn the budget of a repeat. */
  private static final int ANSWERS = 40;

  private EmulatedPlatform platform;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  /** Adds an engine whose answers stand still midway and do not tell their end. */
  private EmulatedEngine addEngine(String id, String service, String stage) throws Exception {
    EmulatedEngine engine = platform.addEngine(id, service, stage);
    engine.endAnswersWithConnection(true);
    engine.pauseInAnswers(LONGEST);
    return engine;
  }

  private EmulatedEngine addDecoder(String id) throws Exception {
    return addEngine(id, EmulatedPlatform.MODEL_SERVICE, "decode");
  }

  private EmulatedEngine addApplication() throws Exception {
    return addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
  }

  private RawCaller call(String path) throws IOException {
    RawCaller caller = new RawCaller(gateway.callersAddress());
    caller.send("r", path, CLOSE);
    return caller;
  }

  @Test
  void streamThatEndsBetweenTwoEventsDoesNotLookWhole() throws Exception {
    EmulatedEngine engine = addDecoder("d-1");
    gateway = platform.addGateway();
    try (RawCaller caller = call(EmulatedPlatform.STREAM)) {
      caller.readUntil(FIRST_EVENT);
      engine.close();
      assertThat(caller.readToEnd()).doesNotContain("piece-2").doesNotEndWith(LAST_CHUNK);
    }
  }

  /** Answers of both engines until the gateway may send a request again. */
  private void earnRepeats(EmulatedEngine one, EmulatedEngine two) throws Exception {
    one.pauseInAnswers(Duration.ZERO);
    two.pauseInAnswers(Duration.ZERO);
    for (int number = 0; number < ANSWERS; number++) {
      try (RawCaller caller = new RawCaller(gateway.callersAddress())) {
        caller.send("earning-" + number, EmulatedPlatform.RESUMABLE, CLOSE);
        assertThat(caller.readToEnd()).endsWith(LAST_CHUNK);
      }
    }
    one.pauseInAnswers(LONGEST);
    two.pauseInAnswers(LONGEST);
  }

  @Test
  void streamThatMayBeResumedGoesOnAtAnotherEngine() throws Exception {
    EmulatedEngine one = addDecoder("d-1");
    EmulatedEngine two = addDecoder("d-2");
    gateway = platform.addGateway();
    await().atMost(LONGEST).until(() -> gateway.engineCount() == 2);
    earnRepeats(one, two);
    try (RawCaller caller = call(EmulatedPlatform.RESUMABLE)) {
      caller.readUntil(FIRST_EVENT);
      EmulatedEngine asked = one.runs().contains("r") ? one : two;
      EmulatedEngine other = asked == one ? two : one;
      other.pauseInAnswers(Duration.ZERO);
      asked.close();
      assertThat(caller.readToEnd())
          .doesNotContain("piece-1")
          .containsOnlyOnce("piece-2")
          .containsOnlyOnce("piece-3")
          .containsOnlyOnce("piece-4")
          .endsWith(LAST_CHUNK);
      assertThat(other.runs()).contains("r");
    }
  }

  @Test
  void longAnswerThatIsNoStreamDoesNotLookWhole() throws Exception {
    EmulatedEngine engine = addApplication();
    engine.padAnswers(LONG_ANSWER_BYTES);
    gateway = platform.addGateway();
    try (RawCaller caller = call(EmulatedPlatform.NON_IDEMPOTENT)) {
      caller.readUntil("answer of a-1");
      engine.close();
      assertThat(caller.readToEnd()).doesNotEndWith(LAST_CHUNK);
    }
  }

  @Test
  void shortAnswerThatIsNoStreamIsNotPassedOn() throws Exception {
    EmulatedEngine engine = addApplication();
    gateway = platform.addGateway();
    try (RawCaller caller = call(EmulatedPlatform.NON_IDEMPOTENT)) {
      await().atMost(LONGEST).until(() -> engine.runs().contains("r"));
      engine.close();
      assertThat(caller.readToEnd()).startsWith("HTTP/1.1 502").doesNotContain("answer");
    }
  }
}
