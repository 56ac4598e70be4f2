package org.fallturn.core.pace;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Estimates the pace of each engine from the work it has done for this node and from the samples
 * that other nodes report.
 *
 * <p>Engines of one service may differ permanently, and engines on shared machines may be slow for
 * short periods, while one node alone sees few answers of each. The long-term pace of an engine
 * follows from many samples of all nodes. Its short-term deviation follows from the most recent
 * samples, weighted by how well such deviations have predicted later samples. {@link PaceBounds}
 * limits each single time, so that a request that was held up elsewhere does not mark an engine as
 * slow.
 *
 * <p>Invariants: an engine without samples has the usual pace; memory is bounded by the number of
 * listed engines and by {@link #MAX_WORK}. One thread calls.
 */
public final class PaceEstimator implements EnginePace {

  /**
   * Maximum number of baselines. All are dropped beyond it, since routes change and a baseline is
   * learned again within a few samples.
   */
  private static final int MAX_WORK = 1_000;

  private final PeerPaces peers;
  private final Map<String, BaselinePace> baselines = new HashMap<>();
  private final Map<WorkKind, WorkKindPace> kinds = new EnumMap<>(WorkKind.class);
  private long lastTickNanos;
  private boolean ticked;

  /**
   * Creates an estimator without samples.
   *
   * @param peers source of the other nodes' samples
   */
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

  /**
   * Returns the forecast for an engine. The caller passes it back with the sample of the work sent
   * there.
   */
  public PaceForecast forecast(String engineId, WorkKind kind, long nowNanos) {
    WorkKindPace kindPace = kinds.get(kind);
    EngineEstimate estimate = kindPace.engines().get(engineId);
    return estimate == null
        ? PaceForecast.NONE
        : estimate.forecast(peers.of(engineId, nowNanos), kindPace, nowNanos);
  }

  /** Adds the sample of finished work. */
  public void onSample(PaceSample sample, long nowNanos) {
    if (!sample.isUsable()) {
      return;
    }
    if (baselines.size() >= MAX_WORK && !baselines.containsKey(sample.work())) {
      baselines.clear();
    }
    BaselinePace baseline = baselines.computeIfAbsent(sample.work(), work -> new BaselinePace());
    if (baseline.isKnown()) {
      learn(baseline.deviation(sample.log()), sample, nowNanos);
    }
    baseline.add(sample.log());
  }

  private void learn(double log, PaceSample sample, long nowNanos) {
    WorkKindPace kind = kinds.get(sample.kind());
    PaceForecast forecast = sample.forecast();
    double observed = log - kind.common() - forecast.longTerm();
    kind.shortTermWeight().onOutcome(forecast.shortTerm(), observed, sample.weight());
    kind.engine(sample.engineId()).onSample(log, kind.common(), sample, nowNanos);
  }

  /**
   * Takes the pace that an engine reports about itself.
   *
   * @param engineId id of one incarnation of an engine
   * @param factor factor by which work takes longer there; 1 is usual
   * @param reportedNanos time of the report on the steady clock
   */
  public void onReportedPace(String engineId, double factor, long reportedNanos) {
    kinds
        .values()
        .forEach(
            kind -> kind.engine(engineId).reported().update(PaceBounds.log(factor), reportedNanos));
  }

  /** Returns this node's recent samples of an engine, to be sent to the other nodes. */
  public RecentPace recent(String engineId, WorkKind kind, long nowNanos) {
    EngineEstimate estimate = kinds.get(kind).engines().get(engineId);
    return estimate == null ? RecentPace.NONE : estimate.recent(nowNanos);
  }

  /**
   * Adds the samples that other nodes have reported since the last call and compares the engines
   * with each other. Called several times a second.
   *
   * @param kindsByEngine the kind of work that peers report for each engine
   * @param nowNanos current time of the steady clock
   */
  public void onTick(Map<String, WorkKind> kindsByEngine, long nowNanos) {
    long passed = ticked ? nowNanos - lastTickNanos : 0;
    ticked = true;
    lastTickNanos = nowNanos;
    kindsByEngine.forEach((id, kind) -> addPeerPace(id, kinds.get(kind), passed, nowNanos));
    kinds.values().forEach(kind -> kind.compare(peers, nowNanos));
  }

  private void addPeerPace(String engineId, WorkKindPace kind, long passedNanos, long nowNanos) {
    RecentPace peerPace = peers.of(engineId, nowNanos);
    if (peerPace.samples() > 0) {
      kind.engine(engineId).onPeerReport(peerPace, kind.common(), passedNanos, nowNanos);
    }
  }

  /** Forgets the engines that are gone; a later incarnation starts without samples. */
  public void retain(Predicate<String> present) {
    kinds.values().forEach(kind -> kind.retain(present));
  }

  /** Returns the engines whose state has changed since the last call. */
  public List<PaceChange> takeChanges(long nowNanos) {
    List<PaceChange> changes = new ArrayList<>();
    kinds.forEach(
        (kind, kindPace) ->
            kindPace
                .engines()
                .forEach((id, engine) -> addChange(id, kind, engine, nowNanos, changes)));
    return changes;
  }

  private void addChange(
      String id, WorkKind kind, EngineEstimate engine, long nowNanos, List<PaceChange> changes) {
    double priorSamples = kinds.get(kind).priorSamples();
    if (engine.takeChange(priorSamples, nowNanos)) {
      double slowness = Math.exp(engine.longTerm().log(priorSamples, nowNanos));
      changes.add(new PaceChange(id, kind, engine.state(), slowness));
    }
  }
}
