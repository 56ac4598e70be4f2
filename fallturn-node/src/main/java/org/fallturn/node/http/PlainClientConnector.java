package org.fallturn.node.http;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Connects without encryption. The usual connector reads the certificates of the Java runtime at
 * its start although no connection needs them, which makes up a good part of a process's start. A
 * connection that is reset is told from one that has ended.
 */
public final class PlainClientConnector extends ClientConnector {

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
    return new ResetAwareEndPoint((SocketChannel) channel, selector, key, getScheduler());
  }

  @Override
  protected SslContextFactory.Client newSslContextFactory() {
    return new UnusedSslContextFactory();
  }

  /** Loads nothing, since nothing is encrypted. */
  private static final class UnusedSslContextFactory extends SslContextFactory.Client {

    @Override
    protected void doStart() {
      // Nothing is to be loaded.
    }
  }
}
