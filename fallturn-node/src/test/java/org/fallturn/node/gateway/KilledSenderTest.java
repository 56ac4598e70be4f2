package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.io.BufferedReader;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against an engine that works on for a process that was killed: an orderly end of the
 * connection, which the kernel would send, may also come from a caller that still reads.
 */
class KilledSenderTest {

  private static final int ANY_PORT = 0;
  private static final int BACKLOG = 1;

  @Test
  @Timeout(value = 60, unit = TimeUnit.SECONDS)
  void connectionOfAKilledProcessIsReset() throws Exception {
    try (ServerSocket engine =
        new ServerSocket(ANY_PORT, BACKLOG, InetAddress.getLoopbackAddress())) {
      Process sender = startSender(engine.getLocalPort());
      try (Socket connection = engine.accept()) {
        readHead(connection.getInputStream());
        sender.destroyForcibly().waitFor();
        Throwable end = catchThrowable(() -> connection.getInputStream().read());
        assertThat(end).isInstanceOf(SocketException.class).hasMessageContaining("reset");
      } finally {
        sender.destroyForcibly();
      }
    }
  }

  private static Process startSender(int port) throws Exception {
    return new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            Sender.class.getName(),
            Integer.toString(port))
        .inheritIO()
        .start();
  }

  private static void readHead(InputStream in) throws Exception {
    BufferedReader reader =
        new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1));
    String line = reader.readLine();
    while (line != null && !line.isEmpty()) {
      line = reader.readLine();
    }
  }

  /** A process that sends a request to a port and waits for the answer. */
  static final class Sender {

    private Sender() {}

    /** Sends one request; the first argument is the port. */
    public static void main(String[] arguments) throws Exception {
      HttpClient client =
          PlainHttpClients.start(
              Executors.newCachedThreadPool(),
              Duration.ofSeconds(1),
              destination -> new DuplexConnectionPool(destination, 1));
      client.GET("http://127.0.0.1:" + arguments[0] + "/");
    }
  }
}
