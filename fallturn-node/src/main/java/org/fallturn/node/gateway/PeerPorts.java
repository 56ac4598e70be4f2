package org.fallturn.node.gateway;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.ServerSocketChannel;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One port number, bound over UDP for datagrams and over TCP for requests, since a peer knows a
 * single address. Where any port will do, another number is tried when the one that UDP got is
 * taken over TCP.
 *
 * @param datagrams bound over UDP
 * @param requests bound over TCP; accepts nothing yet
 */
record PeerPorts(DatagramChannel datagrams, ServerSocketChannel requests) {

  private static final int MAX_TRIES = 50;

  /**
   * Binds both.
   *
   * @param listen host and port; port 0 takes any number that is free over both
   * @throws IOException when the given port, or every port tried, cannot be bound
   */
  static PeerPorts bind(NetworkAddress listen) throws IOException {
    int tries = listen.port() == 0 ? MAX_TRIES : 1;
    for (int attempt = 1; attempt < tries; attempt++) {
      try {
        return bindOnce(listen);
      } catch (BindException e) {
        // The number is taken over TCP: the next attempt gets another.
        continue;
      }
    }
    return bindOnce(listen);
  }

  private static PeerPorts bindOnce(NetworkAddress listen) throws IOException {
    DatagramChannel datagrams = DatagramChannel.open();
    ServerSocketChannel requests = ServerSocketChannel.open();
    try {
      datagrams.bind(new InetSocketAddress(listen.host(), listen.port()));
      int port = ((InetSocketAddress) datagrams.getLocalAddress()).getPort();
      requests.bind(new InetSocketAddress(listen.host(), port));
      return new PeerPorts(datagrams, requests);
    } catch (IOException e) {
      datagrams.close();
      requests.close();
      throw e;
    }
  }

  /** Where both listen, with the real port. */
  NetworkAddress address() throws IOException {
    InetSocketAddress bound = (InetSocketAddress) datagrams.getLocalAddress();
    return new NetworkAddress(bound.getAddress().getHostAddress(), bound.getPort());
  }
}
