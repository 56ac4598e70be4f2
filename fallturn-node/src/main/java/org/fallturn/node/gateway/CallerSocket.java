package org.fallturn.node.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.fallturn.core.domain.NetworkAddress;

/**
 * Binds the server socket that callers connect to. This is the first step of a start: from then on
 * connections queue in the backlog until the start is complete instead of being refused.
 */
public final class CallerSocket {

  /** Backlog of connections that wait to be accepted; more than arrive during a start. */
  private static final int BACKLOG = 512;

  private CallerSocket() {}

  /** Binds the address; port 0 means any free port. */
  public static ServerSocketChannel bind(NetworkAddress address) throws IOException {
    ServerSocketChannel socket = ServerSocketChannel.open();
    try {
      socket.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
    return socket;
  }
}
