package org.fallturn.node.http;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Connects without encryption. The usual connector reads the certificates of the Java runtime at
 * its start although no connection needs them, which makes up a good part of a process's start.
 */
public final class PlainClientConnector extends ClientConnector {

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
