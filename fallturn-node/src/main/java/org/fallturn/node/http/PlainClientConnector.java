package org.fallturn.node.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
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
 *
 * <p>Invariant: a connection is reset when it is closed, whoever closes it, this process or the
 * kernel after the process was killed. After an orderly close, the kernel would still deliver what
 * it holds, even once the peer reads again long after a request was given up; and a peer could take
 * the end for that of a caller that still reads, and work on.
 */
public final class PlainClientConnector extends ClientConnector {

  private static final int RESET_ON_CLOSE = 0;

  @Override
  protected void configure(SelectableChannel channel) throws IOException {
    super.configure(channel);
    ((SocketChannel) channel).setOption(StandardSocketOptions.SO_LINGER, RESET_ON_CLOSE);
  }

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
