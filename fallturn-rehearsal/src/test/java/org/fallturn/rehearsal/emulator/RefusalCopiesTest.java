package org.fallturn.rehearsal.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an emulator that does not repeat refusals in the place of other answers, so that
 * no soak shows what gateways make of them.
 */
class RefusalCopiesTest {

  private static final int REQUESTS = 200;
  private static final String END_OF_HEAD = "\r\n\r\n";

  private EmulatedEngine engine;

  @BeforeEach
  void start() throws Exception {
    engine = new EmulatedEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, "");
    engine.repeatRefusals(1);
  }

  @AfterEach
  void stop() throws Exception {
    engine.close();
  }

  /** Sends a request and reads the head of what comes first. */
  private static String firstAnswer(RawCaller caller, String requestId, String extraHeaders)
      throws IOException {
    caller.send(requestId, EmulatedPlatform.NON_IDEMPOTENT, extraHeaders);
    return caller.readUntil(END_OF_HEAD);
  }

  private static boolean isRefusalOf(String requestId, String answer) {
    return answer.startsWith("HTTP/1.1 503 Service Unavailable\r\n")
        && answer.contains("X-Fallturn-Not-Executed: 1\r\n")
        && answer.contains("X-Fallturn-Request-Id: " + requestId + "\r\n");
  }

  @Test
  void copyOfARefusalComesBeforeTheAnswerToItsOwnIdWhichRuns() throws Exception {
    int refused = 0;
    for (int index = 0; index < REQUESTS; index++) {
      try (RawCaller caller = new RawCaller(engine.address())) {
        String id = "request-" + index;
        if (!isRefusalOf(id, firstAnswer(caller, id, ""))) {
          continue;
        }
        refused++;
        assertThat(engine.runs()).doesNotContain(id);
        assertThat(firstAnswer(caller, id, "")).matches(answer -> isRefusalOf(id, answer));
        assertThat(caller.readUntil("answer of a-1")).startsWith("HTTP/1.1 200 OK\r\n");
        assertThat(engine.runs()).contains(id);
      }
    }
    assertThat(refused).isBetween(REQUESTS * 7 / 10, REQUESTS * 9 / 10);
  }

  @Test
  void copiesOfSomeRefusalsComeBeforeTheAnswersToOthers() throws Exception {
    int refused = 0;
    int before = 0;
    for (int index = 0; index < REQUESTS; index++) {
      try (RawCaller caller = new RawCaller(engine.address())) {
        String id = "request-" + index;
        if (isRefusalOf(id, firstAnswer(caller, id, ""))) {
          refused++;
          before += isRefusalOf(id, firstAnswer(caller, "other-" + index, "")) ? 1 : 0;
        }
      }
    }
    assertThat(before).isBetween(refused / 10, refused / 2);
  }

  /** The refusal of an engine that another one was expected at. */
  @Test
  void refusalForTheSakeOfAnotherEngineIsRepeated() throws Exception {
    try (RawCaller caller = new RawCaller(engine.address())) {
      String first = firstAnswer(caller, "request-1", "X-Fallturn-Expect-Instance: a-2\r\n");
      assertThat(first).startsWith("HTTP/1.1 421 ");
      assertThat(firstAnswer(caller, "request-1", ""))
          .startsWith("HTTP/1.1 421 ")
          .contains("X-Fallturn-Instance-Id: a-1\r\n", "X-Fallturn-Request-Id: request-1\r\n");
      assertThat(caller.readUntil("answer of a-1")).startsWith("HTTP/1.1 200 OK\r\n");
    }
  }

  @Test
  void engineThatRepeatsNoMoreRefusalsRunsEverythingAndAnswersOnce() throws Exception {
    try (RawCaller caller = new RawCaller(engine.address())) {
      firstAnswer(caller, "request-1", "X-Fallturn-Expect-Instance: a-2\r\n");
      engine.endRepeatingRefusals();
      for (int index = 0; index < REQUESTS; index++) {
        assertThat(firstAnswer(caller, "request-1", "")).startsWith("HTTP/1.1 200 OK\r\n");
        caller.readUntil("answer of a-1");
      }
    }
  }
}
