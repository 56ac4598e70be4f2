package org.fallturn.node.gateway;

import java.util.Collections;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.function.BiConsumer;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.IConnection;
import org.eclipse.jetty.client.transport.SendFailure;

/**
 * The connections to one engine, or to a node that forwards. Finds out when a request is to go over
 * a connection that has carried one with its id. Thread-safe.
 */
final class EngineDestination extends HttpDestination {

  private final BiConsumer<String, Connection> onRepeatedId;

  /** Weak, since a connection may end in ways that are not reported here. */
  private final Map<Connection, SentRequestIds> sentByConnection =
      Collections.synchronizedMap(new WeakHashMap<>());

  /**
   * Creates a destination without connections.
   *
   * @param onRepeatedId called with the id of a request and the connection that carried it before
   */
  EngineDestination(HttpClient client, Origin origin, BiConsumer<String, Connection> onRepeatedId) {
    super(client, origin);
    this.onRepeatedId = onRepeatedId;
  }

  @Override
  protected SendFailure send(IConnection connection, HttpExchange exchange) {
    String id = exchange.getRequest() instanceof UnalteredRequest request ? request.id() : "";
    if (!id.isEmpty() && !sentOver(connection).tryAdd(id)) {
      onRepeatedId.accept(id, connection);
    }
    return super.send(connection, exchange);
  }

  private SentRequestIds sentOver(Connection connection) {
    return sentByConnection.computeIfAbsent(connection, opened -> new SentRequestIds());
  }
}
