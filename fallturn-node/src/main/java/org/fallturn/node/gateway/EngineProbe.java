package org.fallturn.node.gateway;

import java.net.ConnectException;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks an engine whose connection broke whether it still lives. Only a refused connection, or the
 * answer of another engine at its address or of a later start of it, says that it is gone; silence
 * says nothing. Thread-safe.
 */
final class EngineProbe {

  private static final Logger LOG = LoggerFactory.getLogger(EngineProbe.class);

  private final EngineClient engines;
  private final Consumer<DispatchEvent> events;

  EngineProbe(EngineClient engines, Consumer<DispatchEvent> events) {
    this.engines = engines;
    this.events = events;
  }

  /** Asks; the dispatch duty is told when the engine is gone. */
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

  private boolean isGone(ServingEngine engine, Result result, byte[] body) {
    if (result.isFailed()) {
      return result.getFailure() instanceof ConnectException;
    }
    return switch (result.getResponse().getStatus()) {
      case HttpStatus.MISDIRECTED_REQUEST_421 -> true;
      case HttpStatus.OK_200 -> hasStartedAgain(engine, body);
      default -> false;
    };
  }

  /** An engine that starts again under its id answers as itself, but for the time of its start. */
  private boolean hasStartedAgain(ServingEngine engine, byte[] body) {
    try {
      return engine.isOtherIncarnation(engines.protocol().readReport(body).bornMillis());
    } catch (MalformedMessageException e) {
      LOG.warn("engines: The report of {} is not readable: {}.", engine.id(), e.getMessage());
      return false;
    }
  }
}
