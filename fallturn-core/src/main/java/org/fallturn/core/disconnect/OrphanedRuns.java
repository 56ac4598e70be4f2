package org.fallturn.core.disconnect;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides what the reports of engines show of orphaned runs, and from which engines a request may
 * go on without waiting for them.
 *
 * <p>Most engines cancel a request when its connection ends, but some work on, and a request that
 * goes on elsewhere then runs twice at a time. A report shows the engine as it was some time before
 * the call for it, so that it proves the end of a run only if it cannot be older than that end.
 *
 * <p>Invariant: a request leaves an engine unasked only if that start of the engine has never been
 * seen to work on, and has been seen to cancel several runs or has ended the connection itself
 * before any event. Not thread-safe. Times are nanoTime.
 */
public final class OrphanedRuns {

  /** The greatest age of a report, counted back from the call for it. */
  public static final Duration MAX_REPORT_AGE = Duration.ofMillis(500);

  /**
   * The longest wait for an engine that has requests which its reports do not name. At an engine
   * that is never without any, a request would wait until its deadline.
   */
  private static final Duration MAX_UNNAMED_WAIT = Duration.ofMillis(1_500);

  /**
   * Such a wait leaves another engine this part of the time that the request has left, at least.
   */
  private static final int UNNAMED_WAIT_PART = 2;

  /** More than one, since a run that ends by itself soon looks like a cancelled one. */
  private static final int CANCELLED_RUNS_TO_TRUST = 3;

  private static final int MAX_ENGINES = 10_000;

  private final Map<String, Seen> seenByEngine =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Seen> eldest) {
          return size() > MAX_ENGINES;
        }
      };

  /** What was seen of one start of an engine. */
  private record Seen(int cancelledRuns, boolean worksOn) {

    private static final Seen NOTHING = new Seen(0, false);

    private DisconnectHandling handling() {
      if (worksOn) {
        return DisconnectHandling.WORKS_ON;
      }
      return cancelledRuns < CANCELLED_RUNS_TO_TRUST
          ? DisconnectHandling.UNKNOWN
          : DisconnectHandling.CANCELS;
    }
  }

  /** What an engine does with orphaned runs, as far as it has been seen. */
  public DisconnectHandling handlingOf(String engineId) {
    return seenByEngine.getOrDefault(engineId, Seen.NOTHING).handling();
  }

  /** Whether a request may go on at another engine before the engine has been asked about it. */
  public boolean mayGoOnUnasked(OrphanedRun run) {
    return switch (handlingOf(run.engineId())) {
      case UNKNOWN -> run.cause() == DisconnectCause.LOST;
      case CANCELS -> true;
      case WORKS_ON -> false;
    };
  }

  /**
   * Evaluates a report.
   *
   * @param askedNanos when the call for the report began
   */
  public RunEvidence onReport(OrphanedRun run, EngineWork work, long askedNanos) {
    long oldestNanos = askedNanos - MAX_REPORT_AGE.toNanos();
    boolean showsAfterSend = oldestNanos - run.sentNanos() >= 0;
    boolean showsAfterEnd = oldestNanos - run.endedNanos() >= 0;
    if (work.running().contains(run.requestId())) {
      run.onNamed();
      return showsAfterEnd ? onWorkedOn(run) : RunEvidence.TOO_EARLY;
    }
    if (run.seenNamed()) {
      return onCancelled(run);
    }
    if (showsAfterSend && work.unnamed() == 0) {
      return RunEvidence.OVER;
    }
    return oldestNanos - run.endedNanos() >= unnamedWaitNanos(run)
        ? RunEvidence.NOT_NAMED
        : RunEvidence.TOO_EARLY;
  }

  /** Counted from the end of the connection to the time that a report shows for certain. */
  private static long unnamedWaitNanos(OrphanedRun run) {
    long wait = Math.min(MAX_UNNAMED_WAIT.toNanos(), run.leftNanos() / UNNAMED_WAIT_PART);
    return Math.max(0, wait - MAX_REPORT_AGE.toNanos());
  }

  private RunEvidence onWorkedOn(OrphanedRun run) {
    seenByEngine.put(run.engineId(), new Seen(0, true));
    return RunEvidence.WORKED_ON;
  }

  private RunEvidence onCancelled(OrphanedRun run) {
    seenByEngine.merge(
        run.engineId(),
        new Seen(1, false),
        (before, one) -> new Seen(before.cancelledRuns() + 1, before.worksOn()));
    return RunEvidence.OVER;
  }
}
