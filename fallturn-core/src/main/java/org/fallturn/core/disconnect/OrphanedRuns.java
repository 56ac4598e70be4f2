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
 * <p>Invariant: a request leaves an engine that answers unasked only if that start of the engine
 * has been seen to cancel a run, and has never been seen to work on. One that has fallen silent is
 * left unasked too, since it is most likely dead, unless it has been seen to work on. Not
 * thread-safe. Times are nanoTime.
 */
public final class OrphanedRuns {

  /** The greatest age of a report, counted back from the call for it. */
  public static final Duration MAX_REPORT_AGE = Duration.ofMillis(500);

  private static final int MAX_ENGINES = 10_000;

  private final Map<String, DisconnectHandling> handlingByEngine =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, DisconnectHandling> eldest) {
          return size() > MAX_ENGINES;
        }
      };

  /** What an engine does with orphaned runs, as far as it has been seen. */
  public DisconnectHandling handlingOf(String engineId) {
    return handlingByEngine.getOrDefault(engineId, DisconnectHandling.UNKNOWN);
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
    if (run.seenNamed() || showsAfterSend && work.unnamed() == 0) {
      return onOver(run);
    }
    if (showsAfterEnd) {
      return RunEvidence.NOT_NAMED;
    }
    if (showsAfterSend) {
      run.onUnnamed();
    }
    return RunEvidence.TOO_EARLY;
  }

  private RunEvidence onWorkedOn(OrphanedRun run) {
    handlingByEngine.put(run.engineId(), DisconnectHandling.WORKS_ON);
    return RunEvidence.WORKED_ON;
  }

  private RunEvidence onOver(OrphanedRun run) {
    if (run.seenNamed() || run.seenUnnamed()) {
      handlingByEngine.putIfAbsent(run.engineId(), DisconnectHandling.CANCELS);
    }
    return RunEvidence.OVER;
  }
}
