package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that never reaches an engine though its head is within the limit: the
 * head was longer than a buffer of the HTTP client, and its failure counted against the engine.
 */
class LargeHeadTest extends OneEngineTest {

  /** Longer than a buffer, and within the limit on heads. */
  private static final String LARGE = "X-Large: " + "h".repeat(11_000) + "\r\n";

  private void assertServed(Socket caller, String id) throws Exception {
    await().atMost(LONGEST).until(() -> engine.got(id));
    assertThat("X-Large: " + engine.headerOf(id, "X-Large") + "\r\n").isEqualTo(LARGE);
    engine.answerIfCome(id);
    assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 200");
  }

  @Test
  void largeHeadReachesTheEngine() throws Exception {
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "one", LARGE, 0)) {
      assertServed(caller, "one");
    }
  }

  @Test
  void largeHeadReachesTheEngineThroughAnotherNode() throws Exception {
    try (Socket node = OneEngineGateway.forward(gateway, "e-1", "one", LARGE)) {
      assertServed(node, "one");
    }
  }

  @Test
  void largeHeadOfAnAnswerIsPassedOn() throws Exception {
    try (Socket node = OneEngineGateway.forward(gateway, "e-1", "one", "")) {
      await().atMost(LONGEST).until(() -> engine.got("one"));
      String head = OneEngineGateway.ID_HEADER + ": one\r\nContent-Length: 0\r\n" + LARGE;
      engine.connections().get(0).send("HTTP/1.1 200 OK\r\n" + head + "\r\n");
      assertThat(OneEngineGateway.readStatus(node)).isEqualTo("HTTP/1.1 200");
    }
  }
}
