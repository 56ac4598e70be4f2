package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.fallturn.core.domain.NetworkAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that a node sends for another one which has given them up. The node knew
 * the request for a cancellation only once its whole body had come, and looked neither at the time
 * left nor at the connection before it sent it: a node that stood still sent requests on 0.4 s
 * after their deadlines, whose callers had left.
 */
class GivenUpForwardingTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final Duration TIME_LEFT = Duration.ofMillis(100);

  private final RequestGate gate = new RequestGate();
  private RawEngine engine;
  private GatewayServer gateway;

  @BeforeEach
  void start() throws Exception {
    engine = new RawEngine();
    gateway = OneEngineGateway.start(engine, gate::pass);
  }

  @AfterEach
  void stop() throws Exception {
    gate.open();
    gateway.close();
    engine.close();
  }

  private Socket connect() throws IOException {
    NetworkAddress address = gateway.peersAddress();
    Socket node = new Socket(address.host(), address.port());
    node.setSoTimeout((int) LONGEST.toMillis());
    return node;
  }

  private static void write(Socket node, String text) throws IOException {
    node.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String head(String headers, int bodyBytes) {
    return "POST /x HTTP/1.1\r\nHost: host\r\n"
        + (OneEngineGateway.ID_HEADER + ": gone\r\n")
        + (ForwardingHeaders.ENGINE + ": e-1\r\n")
        + (ForwardingHeaders.KEY + ": key\r\n")
        + headers
        + ("Content-Length: " + bodyBytes + "\r\n\r\n");
  }

  private static String readHead(Socket node) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = node.getInputStream().read();
      assertThat(next).as("the connection ended after: " + head).isNotNegative();
      head.append((char) next);
    }
    return head.toString();
  }

  private static void assertNotSent(String answer) {
    assertThat(answer).contains(ForwardingHeaders.RESULT + ": " + ForwardingResult.NOT_SENT.name());
  }

  @Test
  void cancellationThatComesBeforeTheBodyHolds() throws Exception {
    try (Socket node = connect();
        Socket cancels = connect()) {
      write(node, head("", 2) + "a");
      await().atMost(LONGEST).until(() -> gateway.inFlight() == 1);
      write(cancels, "DELETE " + EngineForwarder.CANCEL_PREFIX + "key HTTP/1.1\r\nHost: x\r\n\r\n");
      assertThat(readHead(cancels)).startsWith("HTTP/1.1 200");
      write(node, "b");
      await()
          .atMost(LONGEST)
          .until(() -> engine.got("gone") || node.getInputStream().available() > 0);
      assertThat(engine.got("gone")).isFalse();
      assertNotSent(readHead(node));
    }
  }

  @Test
  void requestWhoseNodeClosedItsConnectionMeanwhileIsNotSent() throws Exception {
    Socket node = connect();
    write(node, head(RequestGate.HOLD, 0));
    gate.awaitHeld();
    node.close();
    gate.open();
    await().atMost(LONGEST).until(() -> engine.got("gone") || gateway.inFlight() == 0);
    assertThat(engine.got("gone")).isFalse();
  }

  @Test
  void requestWhoseTimePassedMeanwhileIsNotSent() throws Exception {
    try (Socket node = connect()) {
      String timeLeft = OneEngineGateway.TIME_LEFT_HEADER + ": " + TIME_LEFT.toMillis() + "\r\n";
      write(node, head(RequestGate.HOLD + timeLeft, 0));
      gate.awaitHeld();
      Thread.sleep(TIME_LEFT.toMillis());
      gate.open();
      await().atMost(LONGEST).until(() -> engine.got("gone") || gateway.inFlight() == 0);
      assertThat(engine.got("gone")).isFalse();
      assertNotSent(readHead(node));
    }
  }

  /** The cancellation is sent once and may be lost. */
  @Test
  void engineIsLeftWhenTheNodeClosesItsConnection() throws Exception {
    Socket node = connect();
    write(node, head("", 0));
    await().atMost(LONGEST).until(() -> engine.got("gone"));
    node.close();
    await().atMost(LONGEST).until(() -> engine.connections().get(0).ended());
  }
}
