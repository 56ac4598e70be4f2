package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.ComplianceViolation;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.ConnectionMetaData;
import org.eclipse.jetty.util.Attributes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a caller that is told that its proper request is malformed, after which it does
 * not come back: this node had no memory to read the head of the request.
 */
class FailedHeadTest extends OneEngineTest {

  private static final String PROPER_REQUEST =
      "POST /x HTTP/1.1\r\nHost: host\r\n"
          + (OneEngineGateway.ID_HEADER + ": once\r\n")
          + "Content-Length: 2\r\n\r\nok";

  /** Fails when the server is about to turn a head into a request. */
  private static final class Failing implements ComplianceViolation.Listener {

    private final Throwable failure;

    Failing(Throwable failure) {
      this.failure = failure;
    }

    @Override
    public void onRequestBegin(Attributes request) {
      FailedHeadTest.<RuntimeException>throwAny(failure);
    }
  }

  @SuppressWarnings("unchecked")
  private static <T extends Throwable> void throwAny(Throwable failure) throws T {
    throw (T) failure;
  }

  private Socket connect() throws Exception {
    Socket caller = new Socket(gateway.callersAddress().host(), gateway.callersAddress().port());
    caller.setSoTimeout((int) LONGEST.toMillis());
    return caller;
  }

  private String answerTo(String request) throws Exception {
    try (Socket caller = connect()) {
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return OneEngineGateway.readToEnd(caller);
    }
  }

  /** Lets heads on later connections fail. */
  private void failHeadsWith(Throwable failure) throws Exception {
    try (Socket first = connect()) {
      await().atMost(LONGEST).until(() -> !gateway.callerConnections().isEmpty());
      EndPoint endPoint = gateway.callerConnections().iterator().next();
      ((ConnectionMetaData) endPoint.getConnection())
          .getHttpConfiguration()
          .addComplianceViolationListener(new Failing(failure));
    }
  }

  @Test
  void properRequestIsRefusedAsNotRun() throws Exception {
    failHeadsWith(new OutOfMemoryError("as for the test"));
    assertThat(answerTo(PROPER_REQUEST)).startsWith("HTTP/1.1 503").contains("Connection: close");
    assertThat(engine.got("once")).isFalse();
    assertThat(gateway.inFlight()).isZero();
  }

  /** What the parser makes of malformed heads, with or without a cause. */
  @Test
  void requestThatFailsForAFaultOfItsOwnIsMalformed() throws Exception {
    failHeadsWith(new IllegalArgumentException("as for the test"));
    assertThat(answerTo(PROPER_REQUEST)).startsWith("HTTP/1.1 400");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /x HTTP/1.1\r\nHost: host\r\nContent-Length: many\r\n\r\n",
        "POST /x HTTP/1.1\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: host\r\nNo colon\r\n\r\n",
        "POST /%zz HTTP/1.1\r\nHost: host\r\n\r\n"
      })
  void malformedHeadIsAnsweredAsBefore(String head) throws Exception {
    assertThat(answerTo(head)).startsWith("HTTP/1.1 400").contains("HTTP ERROR 400");
  }
}
