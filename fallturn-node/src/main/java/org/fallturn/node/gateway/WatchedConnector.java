package org.fallturn.node.gateway;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** Accepts callers' connections so that each can be watched for its end. */
final class WatchedConnector extends ServerConnector {

  WatchedConnector(Server server, HttpConnectionFactory http) {
    super(server, 0, 1, http);
  }

  @Override
  protected SocketChannelEndPoint newEndPoint(
      SocketChannel channel, ManagedSelector selector, SelectionKey key) {
    WatchedEndPoint endPoint = new WatchedEndPoint(channel, selector, key, getScheduler());
    endPoint.setIdleTimeout(getIdleTimeout());
    return endPoint;
  }
}
