package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.fallturn.core.pace.EnginePace;
import org.fallturn.core.pace.PaceChange;
import org.fallturn.core.pace.PaceEstimator;
import org.fallturn.core.pace.PaceForecast;
import org.fallturn.core.pace.PaceSample;
import org.fallturn.core.pace.RecentPace;
import org.fallturn.core.pace.ServerLoad;
import org.fallturn.core.pace.WorkKind;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServingEngine;

/**
 * Feeds the {@link PaceEstimator} with the durations of this node's requests, each compared with
 * the duration that was expected when the request was sent. A duration counts from the sending, and
 * the expectation includes the work that waited ahead, so that an engine with a backlog does not
 * seem slow. Confined to one thread.
 */
final class PaceObserver {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double PERCENT = 100;

  /**
   * Length in tokens below which a prompt takes about as long as the network and the engine's steps
   * take, whatever its length. Such prompts are compared only with each other.
   */
  private static final int SHORT_PROMPT_TOKENS = 1_000;

  private final PaceEstimator estimator;
  private final Function<String, PrefillSpeed> speeds;
  private final boolean enabled;
  private final Map<String, WorkKind> kinds = new HashMap<>();

  /**
   * Creates an observer that has learned nothing.
   *
   * @param peerLoads gives the pace that other nodes report
   * @param speeds gives the learned prefill speed of a service
   * @param enabled whether pace is learned, reported and used in decisions
   */
  PaceObserver(PeerLoads peerLoads, Function<String, PrefillSpeed> speeds, boolean enabled) {
    this.estimator = new PaceEstimator(peerLoads::pace);
    this.speeds = speeds;
    this.enabled = enabled;
  }

  /** Returns the pace that decisions use. */
  EnginePace pace() {
    return enabled ? estimator : EnginePace.UNIFORM;
  }

  /** Takes the listed engines and drops what was learned of all others. */
  void onDirectory(EngineDirectory directory) {
    kinds.clear();
    directory.all().forEach(engine -> kinds.put(engine.id(), kind(engine)));
    estimator.retain(kinds::containsKey);
  }

  private static WorkKind kind(ServingEngine engine) {
    return engine.stage() == EngineStage.NONE ? WorkKind.APPLICATION : WorkKind.READING;
  }

  /** Takes the pace that the other nodes have reported. Called several times a second. */
  void onTick(long nowNanos) {
    if (enabled) {
      estimator.onTick(kinds, nowNanos);
    }
  }

  /** Takes the load that a listed engine reports of itself, with its pace. */
  void onLoadReported(String engineId, ServerLoad load, long reportedNanos) {
    if (enabled && kinds.containsKey(engineId) && load.pacePercent().isPresent()) {
      estimator.onReportedPace(engineId, load.pacePercent().getAsInt() / PERCENT, reportedNanos);
    }
  }

  /**
   * Returns what this node's recent requests say about the pace of an engine, for the other nodes.
   */
  RecentPace recentPace(String engineId, long nowNanos) {
    WorkKind kind = kinds.get(engineId);
    return !enabled || kind == null
        ? RecentPace.NONE
        : estimator.recent(engineId, kind, nowNanos).dropIfNegligible();
  }

  /** Removes and returns the changes of the engines' states since the last call. */
  List<PaceChange> takeChanges(long nowNanos) {
    return estimator.takeChanges(nowNanos);
  }

  /**
   * Records the expected duration of a prompt that is about to be sent. A prompt that another
   * engine has read says nothing about reading. A prompt that cannot be in time (late) lets others
   * go first, so that it says nothing about how long reading takes. Neither is recorded.
   */
  void onPlaced(RequestProgress progress, PromptPlacement.Plan plan, long nowNanos) {
    if (!enabled
        || plan.readTokens() == 0
        || progress.source().isPresent()
        || plan.urgency().late()) {
      return;
    }
    ServingEngine engine = plan.engine();
    PaceForecast forecast = estimator.forecast(engine.id(), WorkKind.READING, nowNanos);
    long tokens = plan.aheadTokens() + plan.readTokens();
    double readMillis = speeds.apply(engine.service()).readMillis(engine.stage(), tokens);
    double weight = (double) plan.readTokens() / tokens;
    String length = plan.readTokens() < SHORT_PROMPT_TOKENS ? "short" : "long";
    String work = engine.service() + ' ' + engine.stage() + ' ' + length;
    double usualMillis = plan.millis() - (plan.slowness() - 1) * readMillis;
    progress.setExpected(new ExpectedWork(WorkKind.READING, work, usualMillis, weight, forecast));
  }

  /**
   * Records the expected duration of a request without a prompt that is about to be sent. If the
   * engine has no free slot, the request waits for others.
   *
   * @param running number of requests of all nodes at the engine, without this one
   */
  void onPlaced(RequestProgress progress, ServingEngine engine, int running, long nowNanos) {
    if (!enabled) {
      return;
    }
    PaceForecast forecast = estimator.forecast(engine.id(), WorkKind.APPLICATION, nowNanos);
    String work = engine.service() + ' ' + progress.envelope().route().name();
    double rounds = Math.max(1, (running + 1.0) / Math.max(1, engine.slots()));
    progress.setExpected(
        new ExpectedWork(WorkKind.APPLICATION, work, rounds, 1 / rounds, forecast));
  }

  /** Records how long the work of a request took: its prompt was read, or its answer has begun. */
  void onDone(RequestProgress progress, long nowNanos) {
    if (!enabled || progress.engine().isEmpty()) {
      return;
    }
    String engineId = progress.engine().get().id();
    progress
        .takeExpected()
        .ifPresent(
            expected -> {
              double millis = (nowNanos - progress.sentNanos()) / NANOS_PER_MILLI;
              PaceSample sample =
                  new PaceSample(
                      engineId,
                      expected.kind(),
                      expected.work(),
                      millis,
                      expected.millis(),
                      expected.weight(),
                      expected.forecast());
              estimator.onSample(sample, nowNanos);
            });
  }
}
