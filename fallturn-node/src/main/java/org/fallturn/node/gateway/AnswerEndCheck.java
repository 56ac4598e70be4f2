package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.fallturn.core.routing.ServingEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out whether answers that ended with their connections, and did not tell their end, are
 * whole. The kernel of a process that was killed closes its connections as the process itself
 * would, so that such an end alone proves nothing; an engine that answers a call which began
 * afterwards has ended the answer itself.
 *
 * <p>Invariant: an answer counts as confirmed only if its engine answered a call that began after
 * the answer had ended, on a connection of its own: an open one may still bring what a process
 * wrote before it ended. At most one call to an engine is under way, for all answers that ended
 * before it began. Thread-safe.
 */
final class AnswerEndCheck {

  /** A sound engine may say nothing for a second or so. */
  static final Duration PATIENCE = Duration.ofMillis(2_500);

  /** Shorter, so that the request can go on elsewhere before its caller gives it up. */
  static final Duration PATIENCE_IF_REPEATABLE = Duration.ofMillis(1_500);

  private static final Logger LOG = LoggerFactory.getLogger(AnswerEndCheck.class);

  private static final Duration PAUSE = Duration.ofMillis(100);

  private final EngineClient engines;
  private final Map<String, List<Waiting>> waitingByEngine = new HashMap<>();

  /** An answer whose end is not confirmed yet. */
  private record Waiting(long giveUpNanos, Consumer<AnswerEnd> result) {}

  AnswerEndCheck(EngineClient engines) {
    this.engines = engines;
  }

  /**
   * Starts a check.
   *
   * @param patience how long to ask an engine that says nothing, but for the last call
   * @param result called once, on a client thread, with {@link AnswerEnd#CONFIRMED}, {@link
   *     AnswerEnd#ENGINE_GONE} or {@link AnswerEnd#NOT_CONFIRMED}
   */
  void check(ServingEngine engine, Duration patience, Consumer<AnswerEnd> result) {
    Waiting ended = new Waiting(System.nanoTime() + patience.toNanos(), result);
    boolean callUnderWay;
    synchronized (waitingByEngine) {
      callUnderWay = waitingByEngine.containsKey(engine.id());
      waitingByEngine.computeIfAbsent(engine.id(), id -> new ArrayList<>()).add(ended);
    }
    if (!callUnderWay) {
      call(engine);
    }
  }

  private void call(ServingEngine engine) {
    List<Waiting> asked;
    synchronized (waitingByEngine) {
      asked = waitingByEngine.put(engine.id(), new ArrayList<>());
    }
    engines.reportCalls().call(engine, answer -> onCallEnded(engine, asked, answer.liveness()));
  }

  private void onCallEnded(ServingEngine engine, List<Waiting> asked, EngineLiveness liveness) {
    boolean known = liveness != EngineLiveness.UNKNOWN;
    long now = System.nanoTime();
    List<Waiting> settled = new ArrayList<>(asked);
    settled.removeIf(answer -> !known && now - answer.giveUpNanos() < 0);
    List<Waiting> left = new ArrayList<>(asked);
    left.removeAll(settled);
    settled.forEach(answer -> tell(answer, liveness));
    if (keepWaiting(engine, left)) {
      engines.runLater(() -> call(engine), known ? Duration.ZERO : PAUSE);
    }
  }

  /** Returns whether any answer waits for a further call. */
  private boolean keepWaiting(ServingEngine engine, List<Waiting> left) {
    synchronized (waitingByEngine) {
      List<Waiting> waiting = waitingByEngine.get(engine.id());
      waiting.addAll(left);
      if (waiting.isEmpty()) {
        waitingByEngine.remove(engine.id());
        return false;
      }
      return true;
    }
  }

  private static void tell(Waiting answer, EngineLiveness liveness) {
    AnswerEnd end =
        switch (liveness) {
          case RUNS -> AnswerEnd.CONFIRMED;
          case GONE -> AnswerEnd.ENGINE_GONE;
          case UNKNOWN -> AnswerEnd.NOT_CONFIRMED;
        };
    try {
      answer.result().accept(end);
    } catch (RuntimeException e) {
      LOG.error("engines: An answer could not be ended.", e);
    }
  }
}
