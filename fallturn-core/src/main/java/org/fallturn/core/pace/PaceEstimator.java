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
public final class PaceEstimator implements EnginePace {

  /** Routes change; what is usual for one is learned anew within a few samples. */
  private static final int MAX_WORK = 1_000;

  private final PeerPaces peers;
  private final Map<String, BaselinePace> usual = new HashMap<>();
  private final Map<WorkKind, WorkKindPace> kinds = new EnumMap<>(WorkKind.class);
  private long toldNanos;
  private boolean told;

  /** Nothing is learned yet. */
  public PaceEstimator(PeerPaces peers) {
    this.peers = peers;
    for (WorkKind kind : WorkKind.values()) {
      kinds.put(kind, new WorkKindPace());
    }
  }

  @Override
  public double slowness(String engineId, WorkKind kind, long nowNanos) {
    return forecast(engineId, kind, nowNanos).slowness();
  }

  /** What is believed of an engine, to be given back with the sample that comes of it. */
  public PaceForecast forecast(String engineId, WorkKind kind, long nowNanos) {
    WorkKindPace known = kinds.get(kind);
    EngineEstimate estimate = known.engines().get(engineId);
    return estimate == null
        ? PaceForecast.NONE
        : estimate.forecast(peers.of(engineId, nowNanos), known, nowNanos);
  }

  /** Work has been done. */
  public void onSample(PaceSample sample, long nowNanos) {
    if (!sample.isUsable()) {
      return;
    }
    if (usual.size() >= MAX_WORK && !usual.containsKey(sample.work())) {
      usual.clear();
    }
    BaselinePace usualOfWork = usual.computeIfAbsent(sample.work(), work -> new BaselinePace());
    if (usualOfWork.isKnown()) {
      learn(usualOfWork.deviation(sample.log()), sample, nowNanos);
    }
    usualOfWork.add(sample.log());
  }

  private void learn(double log, PaceSample sample, long nowNanos) {
    WorkKindPace kind = kinds.get(sample.kind());
    PaceForecast forecast = sample.forecast();
    double came = log - kind.common() - forecast.lasting();
    kind.momentWeight().onOutcome(forecast.moment(), came, sample.weight());
    kind.engine(sample.engineId()).onSample(log, kind.common(), sample, nowNanos);
  }

  /**
   * An engine says how long work takes there.
   *
   * @param factor 1 as usual
   */
  public void onReportedPace(String engineId, double factor, long saidNanos) {
    kinds
        .values()
        .forEach(kind -> kind.engine(engineId).own().say(PaceBounds.log(factor), saidNanos));
  }

  /** What this node's work says of an engine recent, for the other nodes. */
  public RecentPace recent(String engineId, WorkKind kind, long nowNanos) {
    EngineEstimate estimate = kinds.get(kind).engines().get(engineId);
    return estimate == null ? RecentPace.NONE : estimate.recent(nowNanos);
  }

  /**
   * Takes what the other nodes have told since the last call, and compares the engines with each
   * other; called some times a second.
   *
   * @param kindsByEngine of which work each engine is told
   */
  public void onTick(Map<String, WorkKind> kindsByEngine, long nowNanos) {
    long passed = told ? nowNanos - toldNanos : 0;
    told = true;
    toldNanos = nowNanos;
    kindsByEngine.forEach((id, kind) -> takeTold(id, kinds.get(kind), passed, nowNanos));
    kinds.values().forEach(kind -> kind.compare(peers, nowNanos));
  }

  private void takeTold(String engineId, WorkKindPace kind, long passedNanos, long nowNanos) {
    RecentPace word = peers.of(engineId, nowNanos);
    if (word.samples() > 0) {
      kind.engine(engineId).onPeerReport(word, kind.common(), passedNanos, nowNanos);
    }
  }

  /** Forgets the engines that are gone; a later start begins anew. */
  public void retain(Predicate<String> present) {
    kinds.values().forEach(kind -> kind.retain(present));
  }

  /** Engines whose state has changed since the last call. */
  public List<PaceChange> takeChanges(long nowNanos) {
    List<PaceChange> changes = new ArrayList<>();
    kinds.forEach(
        (kind, known) ->
            known
                .engines()
                .forEach((id, engine) -> addChange(id, kind, engine, nowNanos, changes)));
    return changes;
  }

  private void addChange(
      String id, WorkKind kind, EngineEstimate engine, long nowNanos, List<PaceChange> changes) {
    double usualSamples = kinds.get(kind).usualSamples();
    if (engine.takeChange(usualSamples, nowNanos)) {
      double slowness = Math.exp(engine.lasting().log(usualSamples, nowNanos));
      changes.add(new PaceChange(id, kind, engine.state(), slowness));
    }
  }
}
