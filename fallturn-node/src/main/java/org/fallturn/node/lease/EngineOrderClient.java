package org.fallturn.node.lease;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.node.http.JsonHttpClient;

/** The engines' protocol as far as orders need it. Thread-safe. */
final class EngineOrderClient {

  private static final String ORDERS_PATH = "/v1/orders";
  private static final String STATE_PATH = "/v1/state";

  private final JsonHttpClient client;
  private final Duration timeout;

  EngineOrderClient(JsonHttpClient client, Duration timeout) {
    this.client = client;
    this.timeout = timeout;
  }

  CompletableFuture<OrderAnswer> send(NetworkAddress engine, EngineOrder order) {
    return client.post(engine, ORDERS_PATH, order, OrderAnswer.class, timeout);
  }

  CompletableFuture<EngineState> state(NetworkAddress engine) {
    return client.get(engine, STATE_PATH, EngineState.class, timeout);
  }
}
