package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests to an engine that has asked this node for a rest, or has told it that it
 * leaves, in the answer to a request that the node sent for another one: what such an answer says
 * was left to the other node, whose connection it is not.
 */
class ForwardedNoticeTest extends OneEngineTest {

  /** Longer than the test. */
  private static final String REST = OneEngineGateway.REST_HEADER + ": 600\r\n";

  private static final String LEAVES = OneEngineGateway.LEAVING_HEADER + ": 1\r\n";

  /** Has a request forwarded, whose refusal holds a notice. */
  private void refuse(String notice) throws Exception {
    try (Socket node = OneEngineGateway.forward(gateway, "e-1", "first", "")) {
      await().atMost(LONGEST).until(() -> engine.got("first"));
      String head =
          OneEngineGateway.ID_HEADER
              + ": first\r\nContent-Length: 0\r\n"
              + (OneEngineGateway.NOT_EXECUTED_HEADER + ": 1\r\n")
              + notice;
      engine.connections().get(0).send("HTTP/1.1 503 Busy\r\n" + head + "\r\n");
      assertThat(OneEngineGateway.readStatus(node)).isEqualTo("HTTP/1.1 503");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {REST, LEAVES})
  void engineGetsNothingMoreFromOtherNodes(String notice) throws Exception {
    refuse(notice);
    try (Socket node = OneEngineGateway.forward(gateway, "e-1", "second", "")) {
      assertThat(OneEngineGateway.readStatus(node)).isEqualTo("HTTP/1.1 502");
      assertThat(engine.got("second")).isFalse();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = REST)
  void engineThatRestsGetsNothingMoreFromCallers(String notice) throws Exception {
    refuse(notice);
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "second", "", 0)) {
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 503");
      assertThat(engine.got("second")).isFalse();
    }
  }
}
