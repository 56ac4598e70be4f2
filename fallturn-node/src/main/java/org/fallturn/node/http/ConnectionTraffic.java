package org.fallturn.node.http;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;
import org.eclipse.jetty.io.Connection;
import org.fallturn.core.domain.NetworkAddress;

/**
 * Counts the bytes of connections, HTTP headers included, by the remote address. Added as a bean to
 * a Jetty client or connector before it starts. Thread-safe.
 */
public final class ConnectionTraffic implements Connection.Listener {

  private static final NetworkAddress UNKNOWN = new NetworkAddress("0.0.0.0", 0);

  private final ConcurrentHashMap<Connection, NetworkAddress> open = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<NetworkAddress, Closed> closed = new ConcurrentHashMap<>();
  private final boolean byRemote;

  /**
   * Counts nothing yet.
   *
   * @param byRemote whether to tell remote addresses apart; a server does not, because the ports of
   *     its clients are without number
   */
  public ConnectionTraffic(boolean byRemote) {
    this.byRemote = byRemote;
  }

  @Override
  public void onOpened(Connection connection) {
    open.put(connection, remote(connection));
  }

  @Override
  public void onClosed(Connection connection) {
    NetworkAddress remote = open.remove(connection);
    if (remote != null) {
      Closed sums = closed.computeIfAbsent(remote, address -> new Closed());
      sums.bytesIn.add(connection.getBytesIn());
      sums.bytesOut.add(connection.getBytesOut());
      sums.messages.add(messages(connection));
    }
  }

  /** What passed connections to remote addresses that match. */
  public TrafficTotals totals(Predicate<NetworkAddress> remote) {
    long bytesIn = 0;
    long bytesOut = 0;
    long messages = 0;
    for (var entry : closed.entrySet()) {
      if (remote.test(entry.getKey())) {
        bytesIn += entry.getValue().bytesIn.sum();
        bytesOut += entry.getValue().bytesOut.sum();
        messages += entry.getValue().messages.sum();
      }
    }
    for (var entry : open.entrySet()) {
      Connection connection = entry.getKey();
      if (remote.test(entry.getValue())) {
        bytesIn += Math.max(0, connection.getBytesIn());
        bytesOut += Math.max(0, connection.getBytesOut());
        messages += messages(connection);
      }
    }
    return new TrafficTotals(bytesIn, bytesOut, messages);
  }

  private NetworkAddress remote(Connection connection) {
    if (!byRemote) {
      return UNKNOWN;
    }
    SocketAddress address = connection.getEndPoint().getRemoteSocketAddress();
    if (address instanceof InetSocketAddress inet) {
      return new NetworkAddress(inet.getAddress().getHostAddress(), inet.getPort());
    }
    return UNKNOWN;
  }

  private static long messages(Connection connection) {
    return Math.max(0, Math.max(connection.getMessagesIn(), connection.getMessagesOut()));
  }

  /** Sums of connections that are closed. */
  private static final class Closed {
    private final LongAdder bytesIn = new LongAdder();
    private final LongAdder bytesOut = new LongAdder();
    private final LongAdder messages = new LongAdder();
  }
}
