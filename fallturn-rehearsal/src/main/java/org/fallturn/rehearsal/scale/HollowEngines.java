package org.fallturn.rehearsal.scale;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.LoadReport;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.OrderNumber;
import org.fallturn.node.http.HttpAnswers;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.json.JsonCodec;

/**
 * Engines that keep their fence and report an idle load, but serve nothing. All share one server;
 * each has a loopback address of its own, by which requests are told apart. Any thread may call.
 */
final class HollowEngines implements AutoCloseable {

  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int MAX_THREADS = 48;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int HOSTS_PER_BLOCK = 250;
  private static final String HOST_PREFIX = "127.77.";

  private final JsonCodec codec = new JsonCodec();
  private final HttpAnswers answers = new HttpAnswers(codec);
  private final Map<String, HollowEngine> engines = new ConcurrentHashMap<>();
  private final Map<String, AtomicLong> requests = new ConcurrentHashMap<>();
  private final AtomicLong refusedOrders = new AtomicLong();
  private final HttpListener listener;

  HollowEngines() throws Exception {
    HttpRouter router = new HttpRouter(codec);
    router.route("GET", "/v1/state", (q, r, c) -> json(r, engine(q).state(), c, "state"));
    router.route("GET", "/v1/load", (q, r, c) -> json(r, engine(q).load(), c, "load"));
    router.route(
        "GET", "/v1/cache-events", (q, r, c) -> json(r, engine(q).cacheEvents(), c, "cache"));
    router.route("POST", "/v1/orders", this::order);
    listener = new HttpListener("engines", new NetworkAddress("0.0.0.0", 0), MAX_THREADS, router);
  }

  /** Adds an engine; gives its address. */
  NetworkAddress add(String id, ModelName model, EngineRole role) {
    int number = engines.size();
    String host = HOST_PREFIX + number / HOSTS_PER_BLOCK + "." + (number % HOSTS_PER_BLOCK + 1);
    engines.put(host, new HollowEngine(new EngineId(id), model, role));
    return new NetworkAddress(host, listener.address().port());
  }

  /** Orders refused by a fence since the start. */
  long refusedOrders() {
    return refusedOrders.get();
  }

  /** Requests since the start by kind. */
  Map<String, Long> requests() {
    Map<String, Long> counts = new HashMap<>();
    requests.forEach((kind, count) -> counts.put(kind, count.get()));
    return counts;
  }

  @Override
  public void close() throws Exception {
    listener.close();
  }

  private HollowEngine engine(Request request) {
    InetSocketAddress local =
        (InetSocketAddress) request.getConnectionMetaData().getLocalSocketAddress();
    return engines.get(local.getAddress().getHostAddress());
  }

  private void order(Request request, Response response, Callback callback) throws Exception {
    byte[] body = HttpRouter.read(request, MAX_BODY_BYTES);
    OrderAnswer answer = engine(request).order(codec.decode(body, EngineOrder.class));
    if (!answer.accepted()) {
      refusedOrders.incrementAndGet();
    }
    json(response, answer, callback, "order");
  }

  private void json(Response response, Object body, Callback callback, String kind) {
    requests.computeIfAbsent(kind, ignored -> new AtomicLong()).incrementAndGet();
    if (body == null) {
      response.setStatus(UNAVAILABLE);
      response.write(true, ByteBuffer.allocate(0), callback);
    } else {
      answers.json(response, OK, body, callback);
    }
  }

  /** One engine: its fence and its role. */
  private static final class HollowEngine {

    private final EngineId id;
    private final ModelName model;
    private EngineRole role;
    private OrderNumber fence = OrderNumber.NONE;

    HollowEngine(EngineId id, ModelName model, EngineRole role) {
      this.id = id;
      this.model = model;
      this.role = role;
    }

    synchronized EngineState state() {
      return new EngineState(
          id, 1, fence, role, model, "1", Map.of(), EngineState.Activity.SERVING, false, 0);
    }

    LoadReport load() {
      return new LoadReport(id, 1, 0, 0, 0, 0, 0, 0, 0);
    }

    CacheEvents cacheEvents() {
      return new CacheEvents(1, 1, List.of());
    }

    synchronized OrderAnswer order(EngineOrder order) {
      if (order.number().compareTo(fence) <= 0) {
        return new OrderAnswer(false, "the order is not above the fence", state());
      }
      fence = order.number();
      if (order.command() instanceof EngineCommand.ChangeRole change) {
        role = change.role();
      }
      return new OrderAnswer(true, "", state());
    }
  }
}
