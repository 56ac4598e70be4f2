package org.fallturn.node.gateway;

import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;
import org.fallturn.core.disconnect.EngineWork;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls for the reports of engines, each on a connection of its own: an open one may still bring
 * what a process wrote before it ended. Thread-safe.
 *
 * <p>Invariant: each call is followed by one result.
 */
final class ReportCalls {

  private static final Logger LOG = LoggerFactory.getLogger(ReportCalls.class);

  private final EngineClient engines;

  ReportCalls(EngineClient engines) {
    this.engines = engines;
  }

  /**
   * What a call showed.
   *
   * @param work empty unless the engine runs and names the requests that it works on
   */
  record Answer(EngineLiveness liveness, Optional<EngineWork> work) {

    /** Shows nothing. */
    static final Answer NONE = new Answer(EngineLiveness.UNKNOWN, Optional.empty());
  }

  /**
   * Starts a call.
   *
   * @param answer called on a client thread, or on this one if the call cannot be made
   */
  void call(ServingEngine engine, Consumer<Answer> answer) {
    try {
      engines
          .newReportOnNewConnection(engine)
          .send(
              new BufferingResponseListener(EngineClient.MAX_REPORT_BYTES) {
                @Override
                public void onComplete(Result result) {
                  answer.accept(read(engine, result, getContent()));
                }
              });
    } catch (RuntimeException e) {
      LOG.warn("engines: {} cannot be asked for its report.", engine.id(), e);
      answer.accept(Answer.NONE);
    }
  }

  private Answer read(ServingEngine engine, Result result, byte[] body) {
    try {
      EngineLiveness liveness = EngineLiveness.of(engine, result, body, engines.protocol());
      boolean reports =
          liveness == EngineLiveness.RUNS && result.getResponse().getStatus() == HttpStatus.OK_200;
      return new Answer(
          liveness, reports ? engines.protocol().readReport(body).work() : Optional.empty());
    } catch (MalformedMessageException e) {
      return new Answer(EngineLiveness.RUNS, Optional.empty());
    } catch (RuntimeException | StackOverflowError e) {
      LOG.warn("engines: The answer of {} is not readable.", engine.id(), e);
      return Answer.NONE;
    }
  }
}
