package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against an engine that works on after a request was given up: an orderly end before the
 * reset hides the reset from whoever reads, and may come from a caller that still waits.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class AbortedRequestTest {

  private static final int ANY_PORT = 0;
  private static final int BACKLOG = 1;
  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private HttpClient client;
  private ServerSocket engine;

  @BeforeEach
  void start() throws Exception {
    engine = new ServerSocket(ANY_PORT, BACKLOG, InetAddress.getLoopbackAddress());
    client =
        PlainHttpClients.start(
            threads::execute,
            Duration.ofSeconds(1),
            destination -> new DuplexConnectionPool(destination, 1));
  }

  @AfterEach
  void stop() throws Exception {
    client.stop();
    threads.shutdownNow();
    engine.close();
  }

  private Request newRequest() {
    return client.newRequest("127.0.0.1", engine.getLocalPort());
  }

  private static void readHead(Socket connection) throws IOException {
    BufferedReader head =
        new BufferedReader(
            new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
    while (!head.readLine().isEmpty()) {
      // The head ends with an empty line.
    }
  }

  private static void assertReset(Socket connection) {
    assertThatThrownBy(() -> connection.getInputStream().read())
        .isInstanceOf(SocketException.class)
        .hasMessageContaining("reset");
  }

  @Test
  void connectionOfAnAbortedRequestIsResetWithoutAnOrderlyEnd() throws Exception {
    Request request = newRequest();
    request.send(result -> {});
    try (Socket connection = engine.accept()) {
      readHead(connection);
      request.abort(new CancellationException("given up"));
      assertReset(connection);
    }
  }

  /** Such an end, before the answer, looks like that of a caller that has left. */
  @Test
  void requestThatIsTheLastOnItsConnectionDoesNotEndItsOutput() throws Exception {
    newRequest()
        .headers(headers -> headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE))
        .send(result -> {});
    try (Socket connection = engine.accept()) {
      readHead(connection);
      connection.getOutputStream().write(ANSWER.getBytes(StandardCharsets.ISO_8859_1));
      assertReset(connection);
    }
  }
}
