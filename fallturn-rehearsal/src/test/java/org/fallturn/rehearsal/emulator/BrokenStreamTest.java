package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import org.fallturn.node.gateway.GatewayServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A stream that broke off must not look whole, however the caller's connection was to end. */
class BrokenStreamTest {

  private static final String LAST_CHUNK = "0\r\n\r\n";

  /** More than a gateway keeps of an answer before it passes it on. */
  private static final int LONG_ANSWER_BYTES = 400_000;

  /** Enough requests to earn the budget of a repeat. */
  private static final int ANSWERS = 40;

  private EmulatedPlatform platform;
  private EmulatedEngine engine;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    engine = platform.addEngine("d-1", EmulatedPlatform.MODEL_SERVICE, "decode");
    gateway = platform.addGateway();
  }

  @AfterEach
  void stop() throws Exception {
    platform.close();
  }

  private String answer(String path, String extraHeaders) throws Exception {
    return answer("request-1", path, extraHeaders);
  }

  private String answer(String requestId, String path, String extraHeaders) throws Exception {
    try (RawCaller caller = new RawCaller(gateway.callersAddress())) {
      caller.send(requestId, path, extraHeaders);
      return caller.readToEnd();
    }
  }

  @Test
  void wholeStreamOverAConnectionThatClosesEndsWithItsLastChunk() throws Exception {
    String answer = answer(EmulatedPlatform.STREAM, "Connection: close\r\n");
    assertThat(answer).contains("Transfer-Encoding: chunked", "piece-4").endsWith(LAST_CHUNK);
  }

  @Test
  void brokenStreamOverAConnectionThatClosesHasNoEnd() throws Exception {
    engine.misbehave(EngineFault.BREAK_MIDWAY);
    String answer = answer(EmulatedPlatform.STREAM, "Connection: close\r\n");
    assertThat(answer).contains("Transfer-Encoding: chunked", "piece-1").doesNotEndWith(LAST_CHUNK);
  }

  /**
   * Guards against an answer made of two runs. A long answer is passed on in parts; its engine
   * broke off, the request may be repeated, and the whole answer of another engine was appended to
   * the parts.
   */
  @Test
  void longAnswerThatBreaksOffIsNotFollowedByThatOfAnotherEngine() throws Exception {
    EmulatedEngine breaking = platform.addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
    EmulatedEngine other = platform.addEngine("a-2", EmulatedPlatform.APPLICATION_SERVICE, "");
    breaking.padAnswers(LONG_ANSWER_BYTES);
    other.padAnswers(LONG_ANSWER_BYTES);
    await().atMost(Duration.ofSeconds(15)).until(() -> gateway.engineCount() == 3);
    for (int number = 0; number < 2 * ANSWERS; number++) {
      if (number == ANSWERS) {
        breaking.misbehave(EngineFault.BREAK_MIDWAY);
      }
      String answer =
          answer("request-" + number, EmulatedPlatform.IDEMPOTENT, "Connection: close\r\n");
      assertThat(answer).containsOnlyOnce("answer of a-");
    }
    assertThat(breaking.runs()).isNotEmpty();
  }

  /**
   * A stream of two events ended with the body of a failure, as if it were whole: its first engine
   * had ended, and the engine that was to go on with it answered 500, whose body was written behind
   * the events. "request-4431 got as whole: id: 1 data: piece-1 id: 2 data: piece-2 failed".
   */
  @Test
  void brokenStreamThatAnotherEngineFailsToGoOnWithDoesNotLookWhole() throws Exception {
    EmulatedEngine other = platform.addEngine("d-2", EmulatedPlatform.MODEL_SERVICE, "decode");
    await().atMost(Duration.ofSeconds(15)).until(() -> gateway.engineCount() == 2);
    engine.misbehave(EngineFault.BREAK_MIDWAY);
    other.misbehave(EngineFault.FAIL);
    String answer = "";
    for (int number = 0; number < 20 && !answer.contains("piece-1"); number++) {
      answer = answer("request-" + number, EmulatedPlatform.RESUMABLE, "Connection: close\r\n");
    }
    assertThat(answer).contains("piece-1").doesNotContain("failed").doesNotEndWith(LAST_CHUNK);
  }
}
