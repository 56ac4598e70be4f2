package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fallturn.core.disconnect.DisconnectHandling;
import org.fallturn.core.disconnect.EngineWork;
import org.fallturn.core.disconnect.OrphanedRun;
import org.fallturn.core.disconnect.OrphanedRuns;
import org.fallturn.core.disconnect.RunEvidence;
import org.fallturn.core.routing.ServingEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds out from the reports of model engines whether they work on requests whose connections have
 * ended. What is learned of one start of an engine holds for its later requests; see {@link
 * OrphanedRuns}.
 *
 * <p>Invariant: at most one call to an engine is under way, for all of its runs. Thread-safe.
 */
final class OrphanedRunCheck {

  private static final Logger LOG = LoggerFactory.getLogger(OrphanedRunCheck.class);

  /** An engine reports without waiting for a slot; one that takes longer cannot be asked. */
  private static final Duration PATIENCE = Duration.ofMillis(150);

  /** Between calls to an engine while requests wait. */
  private static final Duration PAUSE = Duration.ofMillis(100);

  /** Between calls to an engine while no request waits. */
  private static final Duration WATCH_PAUSE = Duration.ofMillis(500);

  private final EngineClient engines;
  private final Predicate<ServingEngine> mayAsk;
  private final DecisionLog log;
  private final OrphanedRuns runs = new OrphanedRuns();
  private final Map<String, EngineCheck> checks = new HashMap<>();

  /** The open runs of one engine; guarded by {@link #checks}. */
  private static final class EngineCheck {

    private final ServingEngine engine;
    private final List<OpenRun> open = new ArrayList<>();
    private boolean callUnderWay;

    private EngineCheck(ServingEngine engine) {
      this.engine = engine;
    }

    private boolean anyWaits() {
      return open.stream().anyMatch(run -> run.waiting().isPresent());
    }
  }

  /**
   * A run that is not known to be over.
   *
   * @param waiting told when it is; empty if nobody waits for that
   */
  private record OpenRun(OrphanedRun run, Optional<Consumer<RunEnd>> waiting) {

    private void tell(RunEnd end) {
      try {
        waiting.ifPresent(told -> told.accept(end));
      } catch (RuntimeException e) {
        LOG.error("engines: The end of {} could not be told.", run.requestId(), e);
      }
    }
  }

  /**
   * Creates a check.
   *
   * @param mayAsk whether an engine may be asked now
   */
  OrphanedRunCheck(EngineClient engines, Predicate<ServingEngine> mayAsk, DecisionLog log) {
    this.engines = engines;
    this.mayAsk = mayAsk;
    this.log = log;
  }

  /** Looks at a run once a report shows it as it was after its end. */
  void watch(ServingEngine engine, OrphanedRun run) {
    add(engine, new OpenRun(run, Optional.empty()));
    engines.runLater(() -> ask(engine.id()), OrphanedRuns.MAX_REPORT_AGE);
  }

  private void add(ServingEngine engine, OpenRun run) {
    synchronized (checks) {
      checks.computeIfAbsent(engine.id(), id -> new EngineCheck(engine)).open.add(run);
    }
  }

  private void ask(String engineId) {
    EngineCheck check;
    List<OpenRun> asked;
    synchronized (checks) {
      check = checks.get(engineId);
      if (check == null || check.callUnderWay) {
        return;
      }
      check.callUnderWay = true;
      asked = List.copyOf(check.open);
    }
    long askedNanos = System.nanoTime();
    if (mayAsk.test(check.engine)) {
      engines
          .reportCalls()
          .call(check.engine, PATIENCE, answer -> onAnswer(check, asked, askedNanos, answer));
    } else {
      onAnswer(check, asked, askedNanos, ReportCalls.Answer.NONE);
    }
  }

  private void onAnswer(
      EngineCheck check, List<OpenRun> asked, long askedNanos, ReportCalls.Answer answer) {
    Map<OpenRun, RunEnd> ended = new LinkedHashMap<>();
    Optional<Duration> next;
    synchronized (checks) {
      check.callUnderWay = false;
      if (answer.work().isEmpty()) {
        RunEnd end =
            answer.liveness() == EngineLiveness.GONE ? RunEnd.ENGINE_GONE : RunEnd.NOT_TOLD;
        check.open.forEach(run -> ended.put(run, end));
      } else {
        for (OpenRun run : asked) {
          endOf(run, answer.work().get(), askedNanos).ifPresent(end -> ended.put(run, end));
        }
      }
      check.open.removeAll(ended.keySet());
      next = nextCall(check, asked);
    }
    ended.forEach(OpenRun::tell);
    next.ifPresent(delay -> engines.runLater(() -> ask(check.engine.id()), delay));
  }

  /** How a run is known to be over; empty to ask again. */
  private Optional<RunEnd> endOf(OpenRun open, EngineWork work, long askedNanos) {
    OrphanedRun run = open.run();
    boolean worksOn = worksOn(run.engineId());
    RunEvidence evidence = runs.onReport(run, work, askedNanos);
    if (!worksOn && worksOn(run.engineId())) {
      logWorksOn(run, askedNanos);
    }
    return switch (evidence) {
      case OVER -> Optional.of(RunEnd.REPORTED);
      case TOO_EARLY -> Optional.empty();
      case WORKED_ON ->
          open.waiting().isPresent() ? Optional.empty() : Optional.of(RunEnd.NOT_TOLD);
      case NOT_NAMED ->
          worksOn && open.waiting().isPresent() ? Optional.empty() : Optional.of(RunEnd.NOT_TOLD);
    };
  }

  private boolean worksOn(String engineId) {
    return runs.handlingOf(engineId) == DisconnectHandling.WORKS_ON;
  }

  private void logWorksOn(OrphanedRun run, long seenNanos) {
    log.line(LogEvent.ENGINE_WORKS_ON, "")
        .addKeyValue("request", run.requestId())
        .addKeyValue("engine", run.engineId())
        .addKeyValue("afterMs", TimeUnit.NANOSECONDS.toMillis(seenNanos - run.endedNanos()))
        .log();
  }

  /** When to ask the engine next; empty if nothing is open. */
  private Optional<Duration> nextCall(EngineCheck check, List<OpenRun> asked) {
    if (check.open.isEmpty()) {
      checks.remove(check.engine.id());
      return Optional.empty();
    }
    boolean joined =
        check.open.stream().anyMatch(run -> run.waiting().isPresent() && !asked.contains(run));
    return Optional.of(joined ? Duration.ZERO : check.anyWaits() ? PAUSE : WATCH_PAUSE);
  }
}
