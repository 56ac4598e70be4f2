package org.fallturn.node.gateway;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fallturn.core.dispatch.RequestEnvelope;
import org.fallturn.core.dispatch.RequestProgress;
import org.fallturn.core.quarantine.RequestContent;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.WeightedService;

/** One caller's request, named "once", that may not be repeated, without a server or a caller. */
final class ExchangeStub {

  /** Longer than any test. */
  private static final Duration DEADLINE = Duration.ofMinutes(5);

  private ExchangeStub() {}

  /** An object whose methods the handler answers. */
  static <T> T stub(Class<T> type, InvocationHandler handler) {
    return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler));
  }

  /**
   * Creates the request.
   *
   * @param caller what the server would give
   * @param events takes what the dispatch duty would
   */
  static Exchange create(HandlerArguments caller, Consumer<DispatchEvent> events) {
    Route route =
        new Route(
            "route",
            "host",
            "/",
            RequestKind.NON_IDEMPOTENT,
            false,
            DEADLINE,
            DEADLINE,
            Duration.ZERO,
            DEADLINE,
            0,
            1,
            List.of(new WeightedService("app", 1)));
    long now = System.nanoTime();
    RequestEnvelope envelope =
        new RequestEnvelope("once", route, Optional.empty(), now, now + DEADLINE.toNanos());
    CallerRequestHead head =
        new CallerRequestHead(
            "once",
            "host",
            "/x",
            "",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.empty());
    CallerProtocol protocol = stub(CallerProtocol.class, (self, method, arguments) -> null);
    return new Exchange(
        caller,
        head,
        new RequestProgress(envelope, new RequestContent("POST host/x", "", new byte[0])),
        new byte[0],
        events,
        new GatewayState(protocol, new BodyMemory(1 << 20), Optional.empty()));
  }
}
