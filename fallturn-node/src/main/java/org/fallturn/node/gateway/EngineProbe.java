package org.fallturn.node.gateway;

import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.routing.ServingEngine;

/**
 * Asks an engine whose connection broke whether it still lives. Only a refused connection, or the
 * answer of another engine at its address, says that it is gone; silence says nothing. Thread-safe.
 */
final class EngineProbe {

  private static final long TIMEOUT_MILLIS = 500;

  private final EngineClient engines;
  private final Consumer<DispatchEvent> events;

  EngineProbe(EngineClient engines, Consumer<DispatchEvent> events) {
    this.engines = engines;
    this.events = events;
  }

  /** Asks; the dispatch duty is told when the engine is gone. */
  void ask(ServingEngine engine) {
    EngineProtocol protocol = engines.protocol();
    engines
        .newRequest(engine, HttpMethod.GET.asString(), protocol.reportPath())
        .headers(headers -> headers.add(protocol.addresseeHeaders(engine)))
        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .send(
            result -> {
              if (isGone(result)) {
                events.accept(new DispatchEvent.EngineGone(engine.id()));
              }
            });
  }

  private static boolean isGone(Result result) {
    return result.isFailed()
        ? result.getFailure() instanceof ConnectException
        : result.getResponse().getStatus() == HttpStatus.MISDIRECTED_REQUEST_421;
  }
}
