package org.fallturn.node.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The socket that callers connect to. Bound first of all at a start: from then on callers wait for
 * the rest of the start instead of being turned away.
 */
public final class CallerSocket {

  /** Connections that wait to be accepted; more than arrive during a start. */
  private static final int MAX_WAITING = 512;

  private CallerSocket() {}

  /** Binds the address; port 0 means any free one. */
  public static ServerSocketChannel bind(NetworkAddress address) throws IOException {
    ServerSocketChannel socket = ServerSocketChannel.open();
    try {
      socket.bind(new InetSocketAddress(address.host(), address.port()), MAX_WAITING);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
    return socket;
  }
}
