package org.fallturn.rehearsal.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One TCP port that forwards to a target. Two threads and two buffers a connection; the number of
 * connections is bounded, and beyond it the listener waits. Any thread may call {@link
 * #applyFaults()} and {@link #close()}.
 */
final class TcpFaultLink implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 512;
  private static final int BACKLOG = 256;

  private final String name;
  private final Optional<String> sourceHost;
  private final FaultTable faults;
  private final ServerSocket listener;
  private final Semaphore places = new Semaphore(MAX_CONNECTIONS);
  private final Set<TcpFaultConnection> connections = ConcurrentHashMap.newKeySet();
  private volatile NetworkAddress target;

  TcpFaultLink(
      String name,
      NetworkAddress listen,
      NetworkAddress target,
      Optional<String> sourceHost,
      FaultTable faults)
      throws IOException {
    this.name = name;
    this.sourceHost = sourceHost;
    this.target = target;
    this.faults = faults;
    this.listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress(listen.host(), listen.port()), BACKLOG);
    FaultThreads.start("fault-accept-" + name, this::acceptAll);
  }

  NetworkAddress address() {
    InetAddress host = listener.getInetAddress();
    return new NetworkAddress(host.getHostAddress(), listener.getLocalPort());
  }

  void retarget(NetworkAddress next) {
    target = next;
  }

  private void acceptAll() {
    while (!listener.isClosed()) {
      try {
        accept(listener.accept());
      } catch (IOException e) {
        if (!listener.isClosed()) {
          continue;
        }
        return;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void accept(Socket caller) throws IOException, InterruptedException {
    String source = caller.getInetAddress().getHostAddress();
    if (faults.of(name, source).cut()) {
      TcpFaultConnection.reset(caller);
      return;
    }
    places.acquire();
    TcpFaultConnection connection =
        new TcpFaultConnection(caller, target, sourceHost, () -> faults.of(name, source), faults);
    connections.add(connection);
    FaultThreads.start("fault-link-" + name, () -> run(connection));
  }

  private void run(TcpFaultConnection connection) {
    try {
      connection.run();
    } finally {
      connections.remove(connection);
      places.release();
    }
  }

  /** Refuses connections from now on; open ones live on. */
  void stopAccepting() throws IOException {
    listener.close();
  }

  /** Resets the open connections that the faults in force cut. */
  void applyFaults() {
    connections.forEach(TcpFaultConnection::resetWhenCut);
  }

  @Override
  public void close() throws IOException {
    listener.close();
    connections.forEach(TcpFaultConnection::abort);
  }
}
