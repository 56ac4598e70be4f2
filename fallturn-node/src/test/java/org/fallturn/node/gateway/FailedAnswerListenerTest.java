package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import org.eclipse.jetty.http.HttpFields;
import org.fallturn.core.routing.RequestKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an answer that is taken for more than was read of it: while memory is used up,
 * what reads its head fails, and the HTTP client goes on with the rest of the answer.
 */
class FailedAnswerListenerTest {

  private static final String FAIL = "X-Fail";
  private static final String HEAD =
      "\r\nContent-Length: 2\r\n" + OneEngineGateway.ID_HEADER + ": once\r\n" + FAIL + ": 1\r\n";

  private RawEngine engine;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    engine = new RawEngine();
    gateway =
        OneEngineGateway.start(
            RequestKind.NON_IDEMPOTENT, FailedAnswerListenerTest::failOnAnswer, engine);
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
    engine.close();
  }

  private static HttpFields failOnAnswer(HttpFields headers) {
    if (headers.contains(FAIL)) {
      throw new OutOfMemoryError("as for the test");
    }
    return headers;
  }

  private void answer(String status) {
    await().atMost(OneEngineTest.LONGEST).until(() -> engine.got("once"));
    engine.connectionOf("once").send("HTTP/1.1 " + status + HEAD + "\r\nok");
  }

  /** Has a request forwarded that the engine runs; returns the head of the node's answer. */
  private String headOfForwarded(String status) throws Exception {
    try (Socket node = OneEngineGateway.forward(gateway, "e-1", "once", "Connection: close\r\n")) {
      answer(status);
      return OneEngineGateway.readToEnd(node);
    }
  }

  @Test
  void nodeThatForwardsSaysThatTheAnswerIsLost() throws Exception {
    assertThat(headOfForwarded("200 OK"))
        .startsWith("HTTP/1.1 502")
        .contains(ForwardingHeaders.RESULT + ": " + ForwardingResult.LOST);
  }

  @Test
  void failureOfTheEngineIsNotRelayedWithoutTheWordOfTheNode() throws Exception {
    assertThat(headOfForwarded("404 Not Found"))
        .startsWith("HTTP/1.1 502")
        .contains(ForwardingHeaders.RESULT + ": " + ForwardingResult.LOST);
  }

  @Test
  void callerIsNotToldThatItsRequestHasNotRun() throws Exception {
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "once", "", 0)) {
      answer("200 OK");
      assertThat(OneEngineGateway.readStatus(caller)).isEqualTo("HTTP/1.1 502");
    }
  }
}
