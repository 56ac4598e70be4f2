package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fallturn.core.disconnect.DisconnectCause;
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

  /** How long a request waits for an engine that has fallen silent and is most likely dead. */
  private static final Duration PATIENCE_IF_SILENT = Duration.ofMillis(250);

  /** How long to watch a run that nobody waits for; a suspended engine may go on later. */
  private static final Duration WATCH_LIMIT = Duration.ofSeconds(5);

  /** Between calls to an engine while requests wait. */
  private static final Duration PAUSE = Duration.ofMillis(100);

  /** Between calls to an engine while no request waits. */
  private static final Duration WATCH_PAUSE = Duration.ofMillis(500);

  private final EngineClient engines;
  private final Predicate<ServingEngine> mayAsk;
  private final DecisionLog log;

  /** Guarded by {@link #checks}. */
  private final OrphanedRuns runs = new OrphanedRuns();

  private final Map<String, EngineCheck> checks = new HashMap<>();

  /** The open runs of one engine; guarded by {@link #checks}. */
  private static final class EngineCheck {

    private final ServingEngine engine;
    private final List<OpenRun> open = new ArrayList<>();
    private boolean callUnderWay;
    private OptionalLong answeredNanos = OptionalLong.empty();

    private EngineCheck(ServingEngine engine) {
      this.engine = engine;
    }

    private boolean hasAnsweredSince(OrphanedRun run) {
      return answeredNanos.isPresent() && answeredNanos.getAsLong() - run.endedNanos() > 0;
    }

    /** Only watches the run from now on; false if nobody waits for it. */
    private boolean stopWaiting(OpenRun run) {
      int place = open.indexOf(run);
      if (place < 0 || run.waiting().isEmpty()) {
        return false;
      }
      open.set(place, new OpenRun(run.run(), Optional.empty()));
      return true;
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

  /**
   * Calls an action when a request may go on at another engine.
   *
   * @param action called once, on this thread or a client thread
   */
  void whenOver(ServingEngine engine, OrphanedRun run, Consumer<RunEnd> action) {
    boolean unasked;
    synchronized (checks) {
      unasked = runs.mayGoOnUnasked(run);
    }
    if (unasked) {
      add(engine, new OpenRun(run, Optional.empty()));
      engines.runLater(() -> ask(engine.id()), OrphanedRuns.MAX_REPORT_AGE);
      action.accept(RunEnd.CONNECTION_ENDED);
      return;
    }
    OpenRun open = new OpenRun(run, Optional.of(action));
    add(engine, open);
    ask(engine.id());
    if (run.cause() == DisconnectCause.ENGINE_SILENT) {
      engines.runLater(() -> releaseUnlessAnswered(engine.id(), open), PATIENCE_IF_SILENT);
    }
  }

  /** Lets a request go on whose engine has not answered since the request left it. */
  private void releaseUnlessAnswered(String engineId, OpenRun open) {
    boolean released;
    synchronized (checks) {
      EngineCheck check = checks.get(engineId);
      released = check != null && !check.hasAnsweredSince(open.run()) && check.stopWaiting(open);
    }
    if (released) {
      open.tell(RunEnd.NOT_TOLD);
    }
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
          .call(check.engine, answer -> onAnswer(check, asked, askedNanos, answer));
    } else {
      onAnswer(check, asked, askedNanos, ReportCalls.Answer.NONE);
    }
  }

  private void onAnswer(
      EngineCheck check, List<OpenRun> asked, long askedNanos, ReportCalls.Answer answer) {
    Map<OpenRun, RunEnd> ended;
    Optional<Duration> next;
    synchronized (checks) {
      check.callUnderWay = false;
      if (answer.work().isPresent()) {
        ended = takeReported(check, asked, answer.work().get(), askedNanos);
      } else if (answer.liveness() == EngineLiveness.UNKNOWN) {
        ended = stopWaiting(check);
      } else {
        boolean gone = answer.liveness() == EngineLiveness.GONE;
        ended = takeAll(check, gone ? RunEnd.ENGINE_GONE : RunEnd.NOT_TOLD);
      }
      next = nextCall(check, asked);
    }
    ended.forEach(OpenRun::tell);
    next.ifPresent(delay -> engines.runLater(() -> ask(check.engine.id()), delay));
  }

  private Map<OpenRun, RunEnd> takeReported(
      EngineCheck check, List<OpenRun> asked, EngineWork work, long askedNanos) {
    check.answeredNanos = OptionalLong.of(System.nanoTime());
    Map<OpenRun, RunEnd> ended = new LinkedHashMap<>();
    for (OpenRun open : asked) {
      boolean worksOn = worksOn(check.engine);
      RunEvidence evidence = runs.onReport(open.run(), work, askedNanos);
      if (!worksOn && worksOn(check.engine)) {
        logWorksOn(open.run(), askedNanos);
      }
      settle(check, open, evidence).ifPresent(end -> ended.put(open, end));
    }
    check.open.removeIf(OrphanedRunCheck::isOldWatch);
    return ended;
  }

  /** What to tell whoever waits for a run; empty to tell nothing now. */
  private Optional<RunEnd> settle(EngineCheck check, OpenRun open, RunEvidence evidence) {
    return switch (evidence) {
      case OVER -> check.open.remove(open) ? Optional.of(RunEnd.REPORTED) : Optional.empty();
      case NOT_NAMED ->
          !worksOn(check.engine) && check.stopWaiting(open)
              ? Optional.of(RunEnd.NOT_TOLD)
              : Optional.empty();
      case TOO_EARLY, WORKED_ON -> Optional.empty();
    };
  }

  /** Lets all requests go on, and watches the runs for a while. */
  private static Map<OpenRun, RunEnd> stopWaiting(EngineCheck check) {
    Map<OpenRun, RunEnd> ended = new LinkedHashMap<>();
    for (OpenRun open : List.copyOf(check.open)) {
      if (check.stopWaiting(open)) {
        ended.put(open, RunEnd.NOT_TOLD);
      }
    }
    check.open.removeIf(OrphanedRunCheck::isOldWatch);
    return ended;
  }

  private static Map<OpenRun, RunEnd> takeAll(EngineCheck check, RunEnd end) {
    Map<OpenRun, RunEnd> ended = new LinkedHashMap<>();
    check.open.forEach(open -> ended.put(open, end));
    check.open.clear();
    return ended;
  }

  private static boolean isOldWatch(OpenRun open) {
    long age = System.nanoTime() - open.run().endedNanos();
    return open.waiting().isEmpty() && age > WATCH_LIMIT.toNanos();
  }

  private boolean worksOn(ServingEngine engine) {
    return runs.handlingOf(engine.id()) == DisconnectHandling.WORKS_ON;
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
