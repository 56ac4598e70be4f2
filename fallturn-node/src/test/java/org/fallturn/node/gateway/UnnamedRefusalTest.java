package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that runs twice, or runs though its caller is told that it did not: an
 * engine sends more bytes after an answer, which look like a refusal but name no request, and they
 * were taken for the answer to the next request on the connection.
 */
class UnnamedRefusalTest extends OneEngineTest {

  /** Sends a request that may not be repeated; returns the status that its caller gets. */
  private String statusAfter(String refusal) throws Exception {
    try (Socket caller = OneEngineGateway.send(gateway.callersAddress(), "once", "", 0)) {
      await().atMost(LONGEST).until(() -> engine.got("once"));
      engine.connections().get(0).send(refusal);
      return OneEngineGateway.readStatus(caller);
    }
  }

  private static String refusal(String statusLine, String headers) {
    return "HTTP/1.1 " + statusLine + "\r\nContent-Length: 0\r\n" + headers + "\r\n";
  }

  private static String notExecuted() {
    return OneEngineGateway.NOT_EXECUTED_HEADER + ": 1\r\n";
  }

  @Test
  void refusalThatNamesNoRequestProvesNothing() throws Exception {
    assertThat(statusAfter(refusal("503 Busy", notExecuted()))).isEqualTo("HTTP/1.1 502");
  }

  @Test
  void misdirectionThatNamesNoRequestProvesNothing() throws Exception {
    assertThat(statusAfter(refusal("421 Other", ""))).isEqualTo("HTTP/1.1 502");
  }

  @Test
  void refusalOfTheRequestIsPassedOn() throws Exception {
    String named = notExecuted() + OneEngineGateway.ID_HEADER + ": once\r\n";
    assertThat(statusAfter(refusal("503 Busy", named))).isEqualTo("HTTP/1.1 503");
  }
}
