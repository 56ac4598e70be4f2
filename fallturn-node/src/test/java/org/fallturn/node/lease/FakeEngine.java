package org.fallturn.node.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.OrderNumber;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.json.JsonCodec;

/** An engine's order port over real HTTP; role changes take effect at once. */
final class FakeEngine implements AutoCloseable {

  private static final int MAX_BYTES = 10_000;

  private final EngineId id;
  private final HttpListener listener;
  private final List<EngineOrder> accepted = new ArrayList<>();
  private OrderNumber fence = OrderNumber.NONE;
  private EngineRole role = EngineRole.DECODE;

  FakeEngine(String name, JsonCodec codec) throws Exception {
    id = new EngineId(name);
    HttpRouter router = new HttpRouter(codec);
    router.message(
        "/v1/orders",
        EngineOrder.class,
        MAX_BYTES,
        order -> CompletableFuture.completedFuture(onOrder(order)));
    router.document("/v1/state", request -> CompletableFuture.completedFuture(state()));
    listener = new HttpListener(name, new NetworkAddress("127.0.0.1", 0), 8, router);
  }

  private synchronized OrderAnswer onOrder(EngineOrder order) {
    if (order.number().compareTo(fence) <= 0) {
      return new OrderAnswer(false, "fenced", state());
    }
    fence = order.number();
    accepted.add(order);
    if (order.command() instanceof EngineCommand.ChangeRole change) {
      role = change.role();
    }
    return new OrderAnswer(true, "", state());
  }

  private synchronized EngineState state() {
    return new EngineState(
        id,
        1,
        fence,
        role,
        new ModelName("model"),
        "1",
        Map.of(),
        EngineState.Activity.SERVING,
        false,
        0);
  }

  EngineId id() {
    return id;
  }

  NetworkAddress address() {
    return listener.address();
  }

  synchronized List<EngineOrder> accepted() {
    return List.copyOf(accepted);
  }

  synchronized EngineRole role() {
    return role;
  }

  @Override
  public void close() throws Exception {
    listener.close();
  }
}
