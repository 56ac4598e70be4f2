package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.io.BufferedReader;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against an engine that works on after a request was given up: an orderly end before the
 * reset hides the reset from whoever reads, and may come from a caller that still waits.
 */
class AbortedRequestTest {

  private static final int ANY_PORT = 0;
  private static final int BACKLOG = 1;

  @Test
  @Timeout(value = 60, unit = TimeUnit.SECONDS)
  void connectionOfAnAbortedRequestIsResetWithoutAnOrderlyEnd() throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    HttpClient client =
        PlainHttpClients.start(
            threads::execute,
            Duration.ofSeconds(1),
            destination -> new DuplexConnectionPool(destination, 1));
    try (ServerSocket engine =
        new ServerSocket(ANY_PORT, BACKLOG, InetAddress.getLoopbackAddress())) {
      Request request = client.newRequest("127.0.0.1", engine.getLocalPort());
      request.send(result -> {});
      try (Socket connection = engine.accept()) {
        BufferedReader head =
            new BufferedReader(
                new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
        while (!head.readLine().isEmpty()) {
          // The head ends with an empty line.
        }
        request.abort(new CancellationException("given up"));
        Throwable end = catchThrowable(() -> connection.getInputStream().read());
        assertThat(end).isInstanceOf(SocketException.class).hasMessageContaining("reset");
      }
    } finally {
      client.stop();
      threads.shutdownNow();
    }
  }
}
