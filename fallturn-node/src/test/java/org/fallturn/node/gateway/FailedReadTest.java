package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a caller that is told that its proper request is malformed: this node failed to
 * read from the connection, and the server took that for the end of what the caller sends.
 */
class FailedReadTest {

  private final AtomicBoolean failNext = new AtomicBoolean();
  private Server server;
  private ServerConnector connector;

  /** Its connections fail to be read on demand. */
  private final class Connector extends ServerConnector {

    Connector(Server server) {
      super(server, 1, 1, new HttpConnectionFactory(new HttpConfiguration()));
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
        SocketChannel channel, ManagedSelector selector, SelectionKey key) {
      FailingChannel failing =
          new FailingChannel(
              channel,
              () -> {
                if (failNext.getAndSet(false)) {
                  throw new OutOfMemoryError("as for the test");
                }
              });
      return WatchedEndPoint.of(this, failing, selector, key, cut -> {});
    }
  }

  /** Answers once it has read the body. */
  private static final class Answering extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      Content.Source.asString(request);
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
      return true;
    }
  }

  @BeforeEach
  void start() throws Exception {
    server = new Server();
    connector = new Connector(server);
    connector.setHost(InetAddress.getLoopbackAddress().getHostAddress());
    server.addConnector(connector);
    server.setHandler(new Answering());
    server.start();
  }

  @AfterEach
  void stop() throws Exception {
    server.stop();
  }

  private static void write(Socket caller, String text) throws Exception {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private boolean hasRead(int bytes) {
    return connector.getConnectedEndPoints().stream()
        .map(EndPoint::getConnection)
        .anyMatch(connection -> connection.getBytesIn() == bytes);
  }

  /** The next read fails, whether it finds the rest of the request or nothing yet. */
  @ParameterizedTest
  @CsvSource({
    "POST / HTTP/1.1|Host: host|, Content-Length: 2||ok",
    "POST / HTTP/1.1|Host: host|Content-Length: 2||o, k"
  })
  void connectionEndsWithoutAnAnswer(String begin, String rest) throws Exception {
    try (Socket caller = new Socket(connector.getHost(), connector.getLocalPort())) {
      caller.setSoTimeout((int) OneEngineTest.LONGEST.toMillis());
      String first = begin.replace("|", "\r\n");
      write(caller, first);
      await().atMost(OneEngineTest.LONGEST).until(() -> hasRead(first.length()));
      failNext.set(true);
      write(caller, rest.replace("|", "\r\n"));
      assertThat(OneEngineGateway.readToEnd(caller)).isEmpty();
    }
  }
}
