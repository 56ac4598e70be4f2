package org.fallturn.node.gateway;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.fallturn.core.routing.ServingEngine;

/**
 * Finds out whether an answer that ended with its connection, and did not tell its end, is whole.
 * The kernel of a process that was killed closes its connections as the process itself would, so
 * that such an end alone proves nothing; an engine that answers a call which began afterwards has
 * ended the answer itself.
 *
 * <p>Invariant: the answer counts as confirmed only if the engine answered such a call. An engine
 * that says nothing may have ended. Thread-safe.
 */
final class AnswerEndCheck {

  private final EngineClient engines;

  AnswerEndCheck(EngineClient engines) {
    this.engines = engines;
  }

  /**
   * Starts a check. Open connections may have gone silent while new ones work, so an engine that
   * does not answer is asked again on a new one.
   *
   * @param result called once, on a client thread, with {@link AnswerEnd#CONFIRMED} or {@link
   *     AnswerEnd#NOT_CONFIRMED}
   */
  void check(ServingEngine engine, Consumer<AnswerEnd> result) {
    ask(
        engine,
        () -> engines.newReport(engine),
        first -> {
          if (first == EngineLiveness.UNKNOWN) {
            ask(
                engine,
                () -> engines.newReportOnNewConnection(engine),
                second -> result.accept(end(second)));
          } else {
            result.accept(end(first));
          }
        });
  }

  private static AnswerEnd end(EngineLiveness liveness) {
    return liveness == EngineLiveness.RUNS ? AnswerEnd.CONFIRMED : AnswerEnd.NOT_CONFIRMED;
  }

  private void ask(ServingEngine engine, Supplier<Request> call, Consumer<EngineLiveness> result) {
    call.get()
        .send(
            new BufferingResponseListener() {
              @Override
              public void onComplete(Result outcome) {
                result.accept(EngineLiveness.of(engine, outcome, getContent(), engines.protocol()));
              }
            });
  }
}
