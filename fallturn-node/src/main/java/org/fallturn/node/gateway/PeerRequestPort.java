package org.fallturn.node.gateway;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.ListenerLimits;

/**
 * The port at which other nodes ask for tables and have their requests forwarded. It takes what
 * callers may send to any node, since other nodes forward it as it came.
 */
final class PeerRequestPort {

  private static final ListenerLimits LIMITS =
      new ListenerLimits(4, 2_048, 64 * 1024, Duration.ofSeconds(60));

  private PeerRequestPort() {}

  /**
   * Starts to serve.
   *
   * @param handlers asked in turn until one takes a request
   */
  static HttpListener open(PeerPorts ports, Handler... handlers) throws Exception {
    return new HttpListener(
        "peers", ports.requests(), PeerConnector::new, LIMITS, new Handler.Sequence(handlers));
  }

  /** Its connections can be watched, so that a node which gives up a request is seen to close. */
  private static final class PeerConnector extends ServerConnector {

    PeerConnector(Server server, HttpConnectionFactory http) {
      super(server, 1, 1, http);
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
        SocketChannel channel, ManagedSelector selector, SelectionKey key) {
      return WatchedEndPoint.of(this, channel, selector, key, PeerConnector::ignore);
    }

    /** Nodes open a connection anew, so nobody needs to hear of one that was cut. */
    private static void ignore(ConnectionCut cut) {}
  }
}
