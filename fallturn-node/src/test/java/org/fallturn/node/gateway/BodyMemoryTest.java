package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that get no answer at all: a node that gets many large bodies at once
 * kept the bytes of all of them, and bounded only those that were whole, until its memory ran out
 * in the middle of one that nobody then answered.
 */
class BodyMemoryTest extends OneEngineTest {

  private static final int LARGE_BODY = 4_000_000;

  /** Together over the memory for bodies of a node. */
  private static final int MANY = 20;

  private final List<Socket> callers = new ArrayList<>();

  @AfterEach
  void leave() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
    callers.clear();
  }

  /** Begins to send a body, and ends no sooner than the test. */
  private void begin(String id, String framing, String bytes) throws IOException {
    Socket caller = new Socket(gateway.callersAddress().host(), gateway.callersAddress().port());
    callers.add(caller);
    caller.setSoTimeout((int) LONGEST.toMillis());
    String head =
        "POST /x HTTP/1.1\r\nHost: host\r\n%s: %s\r\n%s\r\n"
            .formatted(OneEngineGateway.ID_HEADER, id, framing);
    caller.getOutputStream().write((head + bytes).getBytes(StandardCharsets.US_ASCII));
  }

  private long answered() throws IOException {
    long answered = 0;
    for (Socket caller : callers) {
      answered += caller.getInputStream().available() > 0 ? 1 : 0;
    }
    return answered;
  }

  private void assertSomeAreRefusedAndSmallBodiesServed() throws Exception {
    await().atMost(LONGEST).until(() -> answered() > 0);
    for (Socket caller : callers) {
      if (caller.getInputStream().available() > 0) {
        assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 503");
      }
    }
    assertServed("small", 1_000);
  }

  private void assertServed(String id, int bytes) throws Exception {
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), id, "", bytes)) {
      await().atMost(LONGEST).until(() -> engine.answerIfCome(id));
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
    }
  }

  @Test
  void bodyThatFindsNoRoomIsRefusedBeforeItComes() throws Exception {
    for (int number = 0; number < MANY; number++) {
      begin("large-" + number, "Content-Length: " + LARGE_BODY + "\r\n", "begin");
    }
    assertSomeAreRefusedAndSmallBodiesServed();
    leave();
    await().atMost(LONGEST).until(this::hasRoomForALargeBody);
  }

  private boolean hasRoomForALargeBody() throws Exception {
    begin("again", "Content-Length: " + LARGE_BODY + "\r\nExpect: 100-continue\r\n", "");
    Socket caller = callers.get(callers.size() - 1);
    return OneEngineGateway.readStatus(caller).equals("HTTP/1.1 100");
  }

  @Test
  void bodyOfUnknownLengthThatFindsNoRoomIsRefusedAsItComes() throws Exception {
    String chunk = Integer.toHexString(LARGE_BODY) + "\r\n" + "b".repeat(LARGE_BODY) + "\r\n";
    for (int number = 0; number < MANY; number++) {
      begin("large-" + number, "Transfer-Encoding: chunked\r\n", chunk);
    }
    assertSomeAreRefusedAndSmallBodiesServed();
  }
}
