package org.fallturn.node.http;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.SecureRequestCustomizer;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.SslConnectionFactory;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.domain.NetworkAddress;

/** One HTTP port served by Jetty, with its own bounded thread pool. */
public final class HttpListener implements AutoCloseable {

  private static final int MIN_THREADS = 4;
  private static final int ACCEPTORS = 1;
  private static final int SELECTORS = 1;
  private static final int MAX_CONNECTIONS = 8_192;
  private static final int MAX_HEADER_BYTES = 8 * 1024;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  private static final long DRAIN_CHECK_MILLIS = 10;

  private final Server server;
  private final ServerConnector connector;
  private final ConnectionTraffic traffic = new ConnectionTraffic(false);

  /**
   * Binds and starts.
   *
   * @param name prefix of its thread names
   * @param address where to listen; port 0 takes any free one
   * @param maxThreads bound on its threads
   * @param handler what serves the requests
   * @throws Exception when the port cannot be bound
   */
  public HttpListener(String name, NetworkAddress address, int maxThreads, Handler handler)
      throws Exception {
    this(name, address, maxThreads, Optional.empty(), handler);
  }

  /**
   * Starts on a port that is bound already, and owns it from then on. Takes any path, and adds
   * nothing to answers.
   *
   * @param name prefix of its thread names
   * @param bound the port
   * @param connectors creates the connector of the port
   * @param limits bounds on what clients may take
   * @param handler what serves the requests
   * @throws Exception when the port cannot be listened at
   */
  public HttpListener(
      String name,
      ServerSocketChannel bound,
      BiFunction<Server, HttpConnectionFactory, ServerConnector> connectors,
      ListenerLimits limits,
      Handler handler)
      throws Exception {
    this(name, limits, Optional.empty(), connectors, handler);
    InetSocketAddress local = (InetSocketAddress) bound.getLocalAddress();
    connector.setHost(local.getAddress().getHostAddress());
    HttpConfiguration http =
        connector.getConnectionFactory(HttpConnectionFactory.class).getHttpConfiguration();
    http.setUriCompliance(UriCompliance.UNSAFE);
    http.setSendDateHeader(false);
    connector.open(bound);
    server.start();
  }

  /**
   * Binds and starts, encrypted when there is a certificate.
   *
   * @param name prefix of its thread names
   * @param address where to listen; port 0 takes any free one
   * @param maxThreads bound on its threads
   * @param certificate its certificate; plain HTTP without
   * @param handler what serves the requests
   * @throws Exception when the port cannot be bound or the certificate cannot be read
   */
  public HttpListener(
      String name,
      NetworkAddress address,
      int maxThreads,
      Optional<TlsCertificate> certificate,
      Handler handler)
      throws Exception {
    this(name, address, defaultLimits(maxThreads), certificate, handler);
  }

  private static ListenerLimits defaultLimits(int maxThreads) {
    return new ListenerLimits(maxThreads, MAX_CONNECTIONS, MAX_HEADER_BYTES, IDLE_TIMEOUT);
  }

  /**
   * Binds and starts with bounds of its own.
   *
   * @param name prefix of its thread names
   * @param address where to listen; port 0 takes any free one
   * @param limits bounds on what clients may take
   * @param handler what serves the requests
   * @throws Exception when the port cannot be bound
   */
  public HttpListener(String name, NetworkAddress address, ListenerLimits limits, Handler handler)
      throws Exception {
    this(name, address, limits, Optional.empty(), handler);
  }

  /**
   * Binds and starts, encrypted when there is a certificate.
   *
   * @param name prefix of its thread names
   * @param address where to listen; port 0 takes any free one
   * @param limits bounds on what clients may take
   * @param certificate its certificate; plain HTTP without
   * @param handler what serves the requests
   * @throws Exception when the port cannot be bound or the certificate cannot be read
   */
  public HttpListener(
      String name,
      NetworkAddress address,
      ListenerLimits limits,
      Optional<TlsCertificate> certificate,
      Handler handler)
      throws Exception {
    this(name, limits, certificate, HttpListener::plainConnector, handler);
    connector.setHost(address.host());
    connector.setPort(address.port());
    server.start();
  }

  /** Wires everything but the port. */
  private HttpListener(
      String name,
      ListenerLimits limits,
      Optional<TlsCertificate> certificate,
      BiFunction<Server, HttpConnectionFactory, ServerConnector> plainConnectors,
      Handler handler) {
    QueuedThreadPool threads = new QueuedThreadPool(limits.maxThreads(), MIN_THREADS);
    threads.setName(name);
    server = new Server(threads);
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    configuration.setRequestHeaderSize(limits.maxHeaderBytes());
    HttpConnectionFactory http = new HttpConnectionFactory(configuration);
    connector =
        certificate.isPresent()
            ? encrypted(certificate.get(), http)
            : plainConnectors.apply(server, http);
    connector.setIdleTimeout(limits.idleTimeout().toMillis());
    connector.addBean(traffic);
    server.addConnector(connector);
    server.addBean(new NetworkConnectionLimit(limits.maxConnections(), connector));
    server.setHandler(handler);
  }

  private static ServerConnector plainConnector(Server server, HttpConnectionFactory http) {
    return new ServerConnector(server, ACCEPTORS, SELECTORS, http);
  }

  /** Nodes are addressed by IP number, so the name that a client sends is not compared. */
  private ServerConnector encrypted(TlsCertificate certificate, HttpConnectionFactory http) {
    SslContextFactory.Server tls = certificate.newContextFactory();
    server.addBean(certificate.newScanner(tls));
    boolean checkHostName = false;
    http.getHttpConfiguration().addCustomizer(new SecureRequestCustomizer(checkHostName));
    SslConnectionFactory ssl = new SslConnectionFactory(tls, http.getProtocol());
    return new ServerConnector(server, ACCEPTORS, SELECTORS, ssl, http);
  }

  /** Where it listens, with the real port. */
  public NetworkAddress address() {
    return new NetworkAddress(connector.getHost(), connector.getLocalPort());
  }

  /**
   * Takes no more connections and waits until the open ones have ended, so that no request in
   * flight to this port is lost. Connections that stand idle are not waited for longer than asked.
   */
  public void drain(Duration patience) throws InterruptedException {
    connector.close();
    long deadline = System.nanoTime() + patience.toNanos();
    while (!connector.getConnectedEndPoints().isEmpty() && System.nanoTime() - deadline < 0) {
      TimeUnit.MILLISECONDS.sleep(DRAIN_CHECK_MILLIS);
    }
  }

  /** Bytes that passed its connections. */
  public ConnectionTraffic traffic() {
    return traffic;
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }
}
