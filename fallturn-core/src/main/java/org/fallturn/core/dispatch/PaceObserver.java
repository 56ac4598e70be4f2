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
 * Tells the learned pace of what this node's requests took, against what they should have taken by
 * what was known when they were sent. Counted from when they were sent and with what was ahead, so
 * that an engine is not held to be slow for what waited there. One thread calls.
 */
final class PaceObserver {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final double PERCENT = 100;

  /** Shorter prompts take as long as the ways and the steps, and are compared with each other. */
  private static final int SHORT_TOKENS = 1_000;

  private final PaceEstimator learned;
  private final Function<String, PrefillSpeed> speeds;
  private final boolean enabled;
  private final Map<String, WorkKind> kinds = new HashMap<>();

  /**
   * A feed of a pace that knows nothing.
   *
   * @param enabled whether anything is learned, told and gone by
   */
  PaceObserver(PeerLoads peerLoads, Function<String, PrefillSpeed> speeds, boolean enabled) {
    this.learned = new PaceEstimator(peerLoads::pace);
    this.speeds = speeds;
    this.enabled = enabled;
  }

  /** What decisions go by. */
  EnginePace pace() {
    return enabled ? learned : EnginePace.UNIFORM;
  }

  /** Takes the listed engines; what was learned of others is dropped. */
  void onDirectory(EngineDirectory directory) {
    kinds.clear();
    directory.all().forEach(engine -> kinds.put(engine.id(), kind(engine)));
    learned.retain(kinds::containsKey);
  }

  private static WorkKind kind(ServingEngine engine) {
    return engine.stage() == EngineStage.NONE ? WorkKind.APPLICATION : WorkKind.READING;
  }

  /** Takes what the other nodes have told; called some times a second. */
  void onTick(long nowNanos) {
    if (enabled) {
      learned.onTick(kinds, nowNanos);
    }
  }

  /** Takes what a listed engine says of itself. */
  void onLoadReported(String engineId, ServerLoad load, long saidNanos) {
    if (enabled && kinds.containsKey(engineId) && load.pacePercent().isPresent()) {
      learned.onReportedPace(engineId, load.pacePercent().getAsInt() / PERCENT, saidNanos);
    }
  }

  /** What this node's requests say of an engine, for the other nodes. */
  RecentPace recent(String engineId, long nowNanos) {
    WorkKind kind = kinds.get(engineId);
    return !enabled || kind == null
        ? RecentPace.NONE
        : learned.recent(engineId, kind, nowNanos).dropIfNegligible();
  }

  /** Engines whose state has changed since the last call. */
  List<PaceChange> takeChanges(long nowNanos) {
    return learned.takeChanges(nowNanos);
  }

  /**
   * A prompt is about to be sent; one that has been read elsewhere says nothing of reading, and one
   * that lets others go first nothing of how long it takes.
   */
  void onPlaced(RequestProgress progress, PromptPlacement.Plan plan, long nowNanos) {
    if (!enabled
        || plan.readTokens() == 0
        || progress.source().isPresent()
        || plan.urgency().late()) {
      return;
    }
    ServingEngine engine = plan.engine();
    PaceForecast forecast = learned.forecast(engine.id(), WorkKind.READING, nowNanos);
    long tokens = plan.aheadTokens() + plan.readTokens();
    double reading = speeds.apply(engine.service()).readMillis(engine.stage(), tokens);
    double weight = (double) plan.readTokens() / tokens;
    String length = plan.readTokens() < SHORT_TOKENS ? "short" : "long";
    String work = engine.service() + ' ' + engine.stage() + ' ' + length;
    double even = plan.millis() - (plan.slowness() - 1) * reading;
    progress.setExpected(new ExpectedWork(WorkKind.READING, work, even, weight, forecast));
  }

  /**
   * A request that is no prompt is about to be sent: past the slots of its engine it waits for
   * others.
   *
   * @param running requests of all nodes at the engine, this one not yet
   */
  void onPlaced(RequestProgress progress, ServingEngine engine, int running, long nowNanos) {
    if (!enabled) {
      return;
    }
    PaceForecast forecast = learned.forecast(engine.id(), WorkKind.APPLICATION, nowNanos);
    String work = engine.service() + ' ' + progress.envelope().route().name();
    double rounds = Math.max(1, (running + 1.0) / Math.max(1, engine.slots()));
    progress.setExpected(
        new ExpectedWork(WorkKind.APPLICATION, work, rounds, 1 / rounds, forecast));
  }

  /** The work that was sent has been done: the prompt was read, or the answer began. */
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
              learned.onSample(sample, nowNanos);
            });
  }
}
