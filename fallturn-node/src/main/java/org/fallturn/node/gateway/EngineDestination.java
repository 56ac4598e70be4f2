package org.fallturn.node.gateway;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.AbstractConnectionPool;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.IConnection;
import org.eclipse.jetty.client.transport.SendFailure;

/**
 * The connections to one engine, or to a node that forwards. Thread-safe.
 *
 * <p>Invariant: each connection carries an id at most once in its life, whoever sends it. An engine
 * may repeat an answer at any later time, and only the id tells whose it is.
 *
 * <p>A request that comes again goes by another open connection, or else by a new one. The
 * connection that was free is closed only if neither is to be had.
 */
final class EngineDestination extends HttpDestination {

  private final RepeatedIdListener listener;

  /**
   * Without those of connections that have ended, which would stay with an address that is not used
   * again. Weak, since a connection may end in ways that are not reported here.
   */
  private final Map<Connection, SentRequestIds> sentByConnection =
      Collections.synchronizedMap(new WeakHashMap<>());

  /** Connections that are held by a request which they are not to carry. */
  private final Set<Connection> passedOver = ConcurrentHashMap.newKeySet();

  /**
   * Whether a thread is about to serve the queue; one does so for all that are released by then.
   */
  private final AtomicBoolean serviceDue = new AtomicBoolean();

  /** Told of connections that are passed over. */
  @FunctionalInterface
  interface RepeatedIdListener {

    /**
     * A connection has carried a request with the same id.
     *
     * @param closes whether it is closed, since no other one is to be had
     */
    void onRepeatedId(String requestId, Connection connection, boolean closes);
  }

  /**
   * Creates a destination without connections.
   *
   * @param listener told of connections that are passed over
   */
  EngineDestination(HttpClient client, Origin origin, RepeatedIdListener listener) {
    super(client, origin);
    this.listener = listener;
  }

  @Override
  protected SendFailure send(IConnection connection, HttpExchange exchange) {
    String id = idOf(exchange);
    if (id.isEmpty()) {
      return super.send(connection, exchange);
    }
    try {
      return sendOnce(connection, exchange, id);
    } catch (RuntimeException | Error failure) {
      // Thrown on, it would leave the request without an end and the connection in use.
      return new SendFailure(failure, false);
    }
  }

  private SendFailure sendOnce(IConnection connection, HttpExchange exchange, String id) {
    SentRequestIds sent = sentOver(connection);
    if (connection.isClosed()) {
      // Its record has ended with it, so that this one may be new.
      sentByConnection.remove(connection);
    } else if (sent.tryAdd(id)) {
      return super.send(connection, exchange);
    } else if (sent.isFull()) {
      connection.close();
    } else {
      passOver(connection, id);
    }
    return new SendFailure(new IllegalStateException("the connection is not to carry it"), true);
  }

  @Override
  public boolean remove(Connection connection) {
    sentByConnection.remove(connection);
    return super.remove(connection);
  }

  private static String idOf(HttpExchange exchange) {
    return exchange.getRequest() instanceof UnalteredRequest request ? request.id() : "";
  }

  private SentRequestIds sentOver(Connection connection) {
    return sentByConnection.computeIfAbsent(connection, opened -> new SentRequestIds());
  }

  /** Connections whose ids are on record. */
  int recorded() {
    return sentByConnection.size();
  }

  private void passOver(Connection connection, String id) {
    boolean closes = !mayGetAnother();
    passedOver.add(connection);
    listener.onRepeatedId(id, connection, closes);
    if (closes) {
      connection.close();
    }
  }

  /**
   * Serves the requests that looked for a connection while the given one was passed over. Call when
   * it is free again: the client does not look at its queue then.
   */
  void onReleased(Connection connection) {
    if (passedOver.remove(connection)
        && getHttpClient().isRunning()
        && strands(connection)
        && serviceDue.compareAndSet(false, true)) {
      // On another thread, so that calls do not nest for each connection that is passed over.
      getHttpClient().getExecutor().execute(this::serveQueue);
    }
  }

  private void serveQueue() {
    serviceDue.set(false);
    send();
  }

  /**
   * Whether a request waits beside a free connection though it may go by that one, or though no new
   * connection is on its way that will serve the queue.
   */
  private boolean strands(Connection free) {
    return getQueuedRequestCount() > 0
        && (!isConnecting()
            || getHttpExchanges().stream().anyMatch(waiting -> mayCarry(free, idOf(waiting))));
  }

  /** False for a connection that has ended, and its record with it. */
  private boolean mayCarry(Connection connection, String id) {
    SentRequestIds sent = sentByConnection.get(connection);
    return sent != null && !sent.contains(id);
  }

  private boolean isConnecting() {
    return getConnectionPool() instanceof AbstractConnectionPool pool
        && pool.getPendingConnectionCount() > 0;
  }

  private boolean mayGetAnother() {
    return getConnectionPool() instanceof AbstractConnectionPool pool
        && (pool.getIdleConnectionCount() > 0
            || isConnecting()
            || pool.getConnectionCount() < pool.getMaxConnectionCount());
  }
}
