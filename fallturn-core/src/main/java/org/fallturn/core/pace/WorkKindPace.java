package org.fallturn.core.pace;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** What is known of all engines at one kind of work. One thread calls. */
final class WorkKindPace {

  /** Samples that speak for the usual load of all engines. */
  private static final double USUAL_LOAD_SAMPLES = 4;

  private final Map<String, EngineEstimate> engines = new HashMap<>();
  private final ShortTermWeight momentWeight = new ShortTermWeight();
  private final ShrinkagePrior evenness = new ShrinkagePrior();
  private double common;

  Map<String, EngineEstimate> engines() {
    return engines;
  }

  EngineEstimate engine(String engineId) {
    return engines.computeIfAbsent(engineId, id -> new EngineEstimate());
  }

  ShortTermWeight momentWeight() {
    return momentWeight;
  }

  /** By how much work takes longer now at all engines, such as under a burst. */
  double common() {
    return common;
  }

  double usualSamples() {
    return evenness.usualSamples();
  }

  void retain(Predicate<String> present) {
    engines.keySet().removeIf(id -> !present.test(id));
  }

  /** Compares the engines with each other anew. */
  void compare(PeerPaces peers, long nowNanos) {
    double sum = 0;
    double samples = USUAL_LOAD_SAMPLES;
    for (Map.Entry<String, EngineEstimate> engine : engines.entrySet()) {
      RecentPace word = engine.getValue().recent(nowNanos).and(peers.of(engine.getKey(), nowNanos));
      sum += word.sum() - word.samples() * engine.getValue().lasting().mean();
      samples += word.samples();
    }
    common = sum / samples;
    List<LongTermPace> lasting = engines.values().stream().map(EngineEstimate::lasting).toList();
    evenness.compare(lasting, nowNanos);
  }
}
