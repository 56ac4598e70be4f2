package org.fallturn.core.pace;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The pace of each engine, from the work it has done for this node and, as they tell it, for
 * others.
 *
 * <p>The load it answers: engines of one service that differ for good, and engines on shared
 * machines that are slow for moments, while one node alone sees few answers of each. What an engine
 * is follows from many samples of all nodes; what it is now, from those of the last moment, as far
 * as such moments have foretold what came. Each single time counts for no more than {@link
 * PaceBounds} allows, so that one that was held up elsewhere condemns no engine.
 *
 * <p>Invariants: an engine of which nothing is known works as usual; what is kept is bounded by the
 * engines that are listed and {@link #MAX_WORK}. One thread calls.
 */
public final class LearnedPace implements EnginePace {

  /** Routes change; what is usual for one is learned anew within a few samples. */
  private static final int MAX_WORK = 1_000;

  private final PeerWords peers;
  private final Map<String, UsualPace> usual = new HashMap<>();
  private final Map<WorkKind, Map<String, EngineEstimate>> estimates =
      new EnumMap<>(WorkKind.class);
  private final Map<WorkKind, MomentWeight> momentWeights = new EnumMap<>(WorkKind.class);
  private long toldNanos;
  private boolean told;

  /** Nothing is learned yet. */
  public LearnedPace(PeerWords peers) {
    this.peers = peers;
    for (WorkKind kind : WorkKind.values()) {
      estimates.put(kind, new HashMap<>());
      momentWeights.put(kind, new MomentWeight());
    }
  }

  @Override
  public double slowness(String engineId, WorkKind kind, long nowNanos) {
    return forecast(engineId, kind, nowNanos).slowness();
  }

  /** What is believed of an engine, to be given back with the sample that comes of it. */
  public PaceForecast forecast(String engineId, WorkKind kind, long nowNanos) {
    EngineEstimate estimate = estimates.get(kind).get(engineId);
    PaceWord word = peers.of(engineId, nowNanos);
    if (estimate == null) {
      if (word.samples() == 0) {
        return PaceForecast.NONE;
      }
      estimate = new EngineEstimate();
    }
    return estimate.forecast(word, momentWeights.get(kind).get(), nowNanos);
  }

  /** Work has been done. */
  public void onSample(PaceSample sample, long nowNanos) {
    if (!sample.isUsable()) {
      return;
    }
    if (usual.size() >= MAX_WORK && !usual.containsKey(sample.work())) {
      usual.clear();
    }
    UsualPace usualOfWork = usual.computeIfAbsent(sample.work(), work -> new UsualPace());
    if (usualOfWork.isKnown()) {
      double log = usualOfWork.deviation(sample.log());
      PaceForecast forecast = sample.forecast();
      momentWeights.get(sample.kind()).onOutcome(forecast.moment(), log - forecast.lasting());
      estimate(sample.engineId(), sample.kind()).onSample(log, forecast, nowNanos);
    }
    usualOfWork.add(sample.log());
  }

  /**
   * An engine says how long work takes there.
   *
   * @param factor 1 as usual
   */
  public void onOwnWord(String engineId, double factor, long saidNanos) {
    for (WorkKind kind : WorkKind.values()) {
      estimate(engineId, kind).own().say(PaceBounds.log(factor), saidNanos);
    }
  }

  /** What this node's work says of an engine lately, for the other nodes. */
  public PaceWord lately(String engineId, WorkKind kind, long nowNanos) {
    EngineEstimate estimate = estimates.get(kind).get(engineId);
    return estimate == null ? PaceWord.NONE : estimate.lately(nowNanos);
  }

  /**
   * Takes what the other nodes have told since the last call; called some times a second.
   *
   * @param kinds of which each engine is told, by its id
   */
  public void takeTold(Map<String, WorkKind> kinds, long nowNanos) {
    if (told) {
      long passed = nowNanos - toldNanos;
      kinds.forEach((engineId, kind) -> takeTold(engineId, kind, passed, nowNanos));
    }
    told = true;
    toldNanos = nowNanos;
  }

  private void takeTold(String engineId, WorkKind kind, long passedNanos, long nowNanos) {
    PaceWord word = peers.of(engineId, nowNanos);
    if (word.samples() > 0) {
      estimate(engineId, kind).onTold(word, passedNanos, nowNanos);
    }
  }

  /** Forgets the engines that are gone; a later start begins anew. */
  public void retain(Predicate<String> present) {
    estimates.values().forEach(byEngine -> byEngine.keySet().removeIf(id -> !present.test(id)));
  }

  /** Engines whose state has changed since the last call. */
  public List<PaceChange> takeChanges(long nowNanos) {
    List<PaceChange> changes = new ArrayList<>();
    estimates.forEach(
        (kind, byEngine) ->
            byEngine.forEach(
                (id, estimate) -> {
                  if (estimate.takeChange(nowNanos)) {
                    double slowness = Math.exp(estimate.lastingLog(nowNanos));
                    changes.add(new PaceChange(id, kind, estimate.state(), slowness));
                  }
                }));
    return changes;
  }

  private EngineEstimate estimate(String engineId, WorkKind kind) {
    return estimates.get(kind).computeIfAbsent(engineId, id -> new EngineEstimate());
  }
}
