package org.fallturn.node.gateway;

import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.fallturn.core.dispatch.LinkProbe;
import org.fallturn.core.routing.ServingEngine;

/**
 * Probes whether an engine whose connection broke still runs, and whether this node reaches an
 * engine. Thread-safe.
 */
final class EngineProbe {

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
            new BufferingResponseListener(EngineClient.MAX_REPORT_BYTES) {
              @Override
              public void onComplete(Result result) {
                if (EngineLiveness.of(engine, result, getContent(), engines.protocol())
                    == EngineLiveness.GONE) {
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
}
