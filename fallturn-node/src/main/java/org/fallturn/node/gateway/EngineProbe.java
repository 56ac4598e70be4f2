package org.fallturn.node.gateway;

import java.net.ConnectException;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.dispatch.LinkProbe;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Probes whether an engine whose connection broke still runs, and whether this node reaches an
 * engine. The engine counts as gone only when its address refuses connections, or when another
 * engine or a later incarnation of it answers there; a missing answer proves nothing. Thread-safe.
 */
final class EngineProbe {

  private static final Logger LOG = LoggerFactory.getLogger(EngineProbe.class);

  private final EngineClient engines;
  private final Consumer<DispatchEvent> events;

  EngineProbe(EngineClient engines, Consumer<DispatchEvent> events) {
    this.engines = engines;
    this.events = events;
  }

  /** Starts a probe; posts {@link DispatchEvent.EngineGone} when the engine is gone. */
  void ask(ServingEngine engine) {
    engines
        .newReport(engine)
        .send(
            new BufferingResponseListener() {
              @Override
              public void onComplete(Result result) {
                if (isGone(engine, result, getContent())) {
                  events.accept(new DispatchEvent.EngineGone(engine.id()));
                }
              }
            });
  }

  /**
   * Starts a probe of the link to an engine; posts {@link DispatchEvent.PathProbed} at its end. Any
   * answer shows that the link works. An engine that asked for a rest is not asked, which shows
   * nothing.
   */
  void askPath(LinkProbe probe) {
    ServingEngine engine = probe.engine();
    long askedNanos = System.nanoTime();
    Request call =
        probe.onNewConnection()
            ? engines.newReportOnNewConnection(engine)
            : engines.newReport(engine);
    call.send(
        result -> {
          if (!(result.getRequestFailure() instanceof EngineHeldBackException)) {
            boolean reached = result.getResponse().getStatus() > 0;
            events.accept(new DispatchEvent.PathProbed(probe, reached, askedNanos));
          }
        });
  }

  private boolean isGone(ServingEngine engine, Result result, byte[] body) {
    if (result.isFailed()) {
      return result.getFailure() instanceof ConnectException;
    }
    return switch (result.getResponse().getStatus()) {
      case HttpStatus.MISDIRECTED_REQUEST_421 -> true;
      case HttpStatus.OK_200 -> hasRestarted(engine, body);
      default -> false;
    };
  }

  /** An engine that restarted under the same id differs only in its start time. */
  private boolean hasRestarted(ServingEngine engine, byte[] body) {
    try {
      return engine.isOtherIncarnation(engines.protocol().readReport(body).bornMillis());
    } catch (MalformedMessageException e) {
      LOG.warn("engines: The report of {} is not readable: {}.", engine.id(), e.getMessage());
      return false;
    }
  }
}
