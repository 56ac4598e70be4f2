package org.fallturn.core.pace;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Pace estimates of all engines for one kind of work. One thread calls. */
final class WorkKindPace {

  /** Number of prior samples for the assumption that the load of all engines is as usual. */
  private static final double PRIOR_SAMPLES = 4;

  private final Map<String, EngineEstimate> engines = new HashMap<>();
  private final ShortTermWeight shortTermWeight = new ShortTermWeight();
  private final ShrinkagePrior shrinkagePrior = new ShrinkagePrior();
  private double common;

  Map<String, EngineEstimate> engines() {
    return engines;
  }

  EngineEstimate engine(String engineId) {
    return engines.computeIfAbsent(engineId, id -> new EngineEstimate());
  }

  ShortTermWeight shortTermWeight() {
    return shortTermWeight;
  }

  /**
   * Returns the deviation that is currently common to all engines, for example under a burst, as a
   * natural logarithm.
   */
  double common() {
    return common;
  }

  double priorSamples() {
    return shrinkagePrior.priorSamples();
  }

  void retain(Predicate<String> present) {
    engines.keySet().removeIf(id -> !present.test(id));
  }

  /**
   * Compares the engines with each other and updates the common deviation and the shrinkage prior.
   */
  void compare(PeerPaces peers, long nowNanos) {
    double sum = 0;
    double samples = PRIOR_SAMPLES;
    for (Map.Entry<String, EngineEstimate> engine : engines.entrySet()) {
      RecentPace recent =
          engine.getValue().recent(nowNanos).and(peers.of(engine.getKey(), nowNanos));
      sum += recent.sum() - recent.samples() * engine.getValue().longTerm().mean();
      samples += recent.samples();
    }
    common = sum / samples;
    List<LongTermPace> longTerm = engines.values().stream().map(EngineEstimate::longTerm).toList();
    shrinkagePrior.compare(longTerm, nowNanos);
  }
}
