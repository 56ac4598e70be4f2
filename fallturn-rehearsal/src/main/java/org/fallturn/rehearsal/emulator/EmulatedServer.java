package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.domain.NetworkAddress;

/** An HTTP server on any free port of loopback. */
final class EmulatedServer implements AutoCloseable {

  private static final int THREADS = 64;
  private static final String LOOPBACK = "127.0.0.1";

  private final Server server;
  private final ServerConnector connector;
  private final NetworkAddress address;
  private volatile boolean killed;

  EmulatedServer(Handler handler) throws Exception {
    this(handler, 0);
  }

  /**
   * A server on one port.
   *
   * @param port 0 for any free one
   */
  EmulatedServer(Handler handler, int port) throws Exception {
    server = new Server(new QueuedThreadPool(THREADS));
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    connector = new KillableConnector(configuration);
    connector.setHost(LOOPBACK);
    connector.setPort(port);
    server.addConnector(connector);
    server.setHandler(handler);
    server.start();
    address = new NetworkAddress(LOOPBACK, connector.getLocalPort());
  }

  /** Where it listens, or listened before it was closed. */
  NetworkAddress address() {
    return address;
  }

  /**
   * Ends as the kernel ends a process that is killed: nothing more is answered on any connection,
   * new ones are refused, and then all end in an orderly way; those with unread bytes are reset.
   */
  void kill() {
    killed = true;
    connector.close();
    connector.getConnectedEndPoints().forEach(EndPoint::close);
  }

  /**
   * Ends the connections before the server: the server does so on its selector, which can wait
   * there without end for a write that only the selector itself would fail.
   */
  @Override
  public void close() throws Exception {
    kill();
    server.stop();
  }

  /** Its connections write nothing once the server is killed. */
  private final class KillableConnector extends ServerConnector {

    KillableConnector(HttpConfiguration configuration) {
      super(server, 1, 1, new HttpConnectionFactory(configuration));
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
        SocketChannel channel, ManagedSelector selector, SelectionKey key) {
      SocketChannelEndPoint endPoint =
          new SocketChannelEndPoint(channel, selector, key, getScheduler()) {
            @Override
            public boolean flush(ByteBuffer... buffers) throws IOException {
              if (killed) {
                throw new EofException("killed");
              }
              return super.flush(buffers);
            }
          };
      endPoint.setIdleTimeout(getIdleTimeout());
      return endPoint;
    }
  }
}
