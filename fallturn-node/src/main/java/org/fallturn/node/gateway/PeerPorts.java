package org.fallturn.node.gateway;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.ServerSocketChannel;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One port number, bound both for UDP datagrams and for TCP requests of peers, since a peer knows
 * only one address of a node. When any free port will do and the one that UDP got is in use for
 * TCP, another is tried.
 *
 * @param datagrams the UDP channel, bound
 * @param requests the TCP channel, bound; it accepts no connections yet
 */
record PeerPorts(DatagramChannel datagrams, ServerSocketChannel requests) {

  private static final int MAX_TRIES = 50;

  /**
   * Binds both channels to the same port number.
   *
   * @param listen host and port; port 0 takes any number that is free for both
   * @throws IOException when the given port, or every port that was tried, cannot be bound
   */
  static PeerPorts bind(NetworkAddress listen) throws IOException {
    int tries = listen.port() == 0 ? MAX_TRIES : 1;
    for (int attempt = 1; attempt < tries; attempt++) {
      try {
        return bindOnce(listen);
      } catch (BindException e) {
        // The port is in use for TCP: the next attempt gets another.
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

  /** The address that both are bound to, with the actual port. */
  NetworkAddress address() throws IOException {
    InetSocketAddress bound = (InetSocketAddress) datagrams.getLocalAddress();
    return new NetworkAddress(bound.getAddress().getHostAddress(), bound.getPort());
  }
}
