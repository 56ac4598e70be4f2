package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.BiFunction;
import org.eclipse.jetty.client.ConnectionPool;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.SocketAddressResolver;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.fallturn.node.http.LiteralAddressResolver;
import org.fallturn.node.http.PlainClientConnector;

/**
 * Starts HTTP clients with pooled connections that leave requests and answers as they are: they add
 * no headers, decode no content and follow no redirects.
 */
final class PlainHttpClients {

  /** Maximum number of connections to an address that has no bound of its own. */
  static final int DEFAULT_CONNECTIONS = 16;

  /**
   * Time to connect to the store, the platform or another node. The timeout of the call ends the
   * wait much sooner, but not the connecting: over a full link a connection may take longer than
   * one call, and the next call finds it.
   */
  private static final Duration CONTROL_CONNECT_TIMEOUT = Duration.ofSeconds(3);

  /**
   * Allocates each buffer anew, on the heap. The library's pool gives a buffer to two connections
   * at once after an answer has broken off within a chunk, so that bytes of one exchange end up in
   * another ({@code ClientBuffersTest}). Direct buffers would be freed late by the collector.
   */
  private static final ByteBufferPool BUFFERS = new ByteBufferPool.NonPooling();

  private static final Duration IDLE_CONNECTION = Duration.ofMillis(2_500);
  private static final int MAX_QUEUED = 4_096;
  private static final int BUFFER_BYTES = 8 * 1024;

  /**
   * More than any head needs. A request whose head is longer than a buffer gets a larger one; bytes
   * that are no answer may go on without end.
   */
  private static final int MAX_HEAD_BYTES = 64 * 1024;

  private static final String TIMER_THREAD = "calls-timer";

  private PlainHttpClients() {}

  /**
   * Starts the client for calls to the store, the platform and other nodes. The executor is passed
   * on as a function, since a client stops an executor that is a thread pool, and this one is
   * shared: the pool would wait five seconds for the threads of whoever is still using it.
   */
  static HttpClient startForControl(Executor executor) throws Exception {
    return start(
        executor::execute,
        CONTROL_CONNECT_TIMEOUT,
        destination -> new DuplexConnectionPool(destination, DEFAULT_CONNECTIONS));
  }

  /**
   * Starts a client.
   *
   * @param pools creates the connection pool of each destination
   */
  static HttpClient start(Executor executor, Duration connectTimeout, ConnectionPool.Factory pools)
      throws Exception {
    return start(executor, connectTimeout, HttpDestination::new, pools);
  }

  /**
   * Starts a client.
   *
   * @param destinations creates the destination for each address
   * @param pools creates the connection pool of each destination
   */
  static HttpClient start(
      Executor executor,
      Duration connectTimeout,
      BiFunction<HttpClient, Origin, Destination> destinations,
      ConnectionPool.Factory pools)
      throws Exception {
    ClientConnector connector = new PlainClientConnector();
    connector.setByteBufferPool(BUFFERS);
    connector.setSelectors(1);
    connector.setExecutor(executor);
    HttpClientTransportOverHTTP transport = newTransport(connector, destinations);
    transport.setConnectionPoolFactory(pools);
    HttpClient client = new HttpClient(transport);
    client.setByteBufferPool(BUFFERS);
    client.setUseInputDirectByteBuffers(false);
    client.setUseOutputDirectByteBuffers(false);
    client.setExecutor(executor);
    Scheduler timer = new ScheduledExecutorScheduler(TIMER_THREAD, true);
    client.setScheduler(timer);
    client.setSocketAddressResolver(
        new LiteralAddressResolver(
            new SocketAddressResolver.Async(
                executor, timer, client.getAddressResolutionTimeout())));
    client.setUserAgentField(null);
    client.setFollowRedirects(false);
    client.setDefaultRequestContentType(null);
    client.setConnectBlocking(false);
    client.setConnectTimeout(connectTimeout.toMillis());
    client.setIdleTimeout(IDLE_CONNECTION.toMillis());
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED);
    client.setRequestBufferSize(BUFFER_BYTES);
    client.setResponseBufferSize(BUFFER_BYTES);
    client.setMaxRequestHeadersSize(MAX_HEAD_BYTES);
    client.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
    client.start();
    client.getContentDecoderFactories().clear();
    client.getProtocolHandlers().clear();
    client.getProtocolHandlers().put(new InterimAnswerHandler());
    return client;
  }

  private static HttpClientTransportOverHTTP newTransport(
      ClientConnector connector, BiFunction<HttpClient, Origin, Destination> destinations) {
    return new HttpClientTransportOverHTTP(connector) {
      @Override
      public Destination newDestination(Origin origin) {
        return destinations.apply(getHttpClient(), origin);
      }
    };
  }
}
