package org.fallturn.core.pace;

/**
 * Pace estimate of one engine for one kind of work.
 *
 * <p>It combines the long-term mean, the short-term deviation from it and the pace that the engine
 * reports. One thread calls.
 */
final class EngineEstimate {

  private final LongTermPace longTerm = new LongTermPace();
  private final ReportedPace reported = new ReportedPace();
  private RecentPace recent = RecentPace.NONE;
  private long recentAtNanos;
  private PaceState state = PaceState.USUAL;

  ReportedPace reported() {
    return reported;
  }

  LongTermPace longTerm() {
    return longTerm;
  }

  /** Returns this node's recent samples, decayed to the given time. */
  RecentPace recent(long nowNanos) {
    return recent.aged(nowNanos - recentAtNanos);
  }

  /**
   * Returns the current forecast for this engine.
   *
   * @param peerPace recent samples of the other nodes
   * @param kind state shared by all engines for this kind of work
   * @param nowNanos current time of the steady clock
   */
  PaceForecast forecast(RecentPace peerPace, WorkKindPace kind, long nowNanos) {
    double mean = longTerm.log(kind.priorSamples(), nowNanos);
    RecentPace combined = recent(nowNanos).and(peerPace);
    double shortTerm =
        (combined.sum() - combined.samples() * (mean + kind.common())) / (combined.samples() + 1);
    double estimate = mean + kind.shortTermWeight().get() * shortTerm;
    double weight = reported.weight(nowNanos);
    double combinedLog =
        reported.log().isPresent()
            ? weight * reported.log().getAsDouble() + (1 - weight) * estimate
            : estimate;
    return new PaceForecast(
        mean, shortTerm, reported.log(), PaceBounds.clampToSlowdown(combinedLog));
  }

  /**
   * Adds a sample of this node.
   *
   * @param log natural logarithm of the factor against the baseline
   * @param common part of {@code log} that is currently the same at all engines
   * @param sample the sample
   * @param nowNanos current time of the steady clock
   */
  void onSample(double log, double common, PaceSample sample, long nowNanos) {
    double engineLog = log - common;
    sample
        .forecast()
        .reported()
        .ifPresent(reportedLog -> reported.onOutcome(reportedLog, longTerm.mean(), engineLog));
    double difference = engineLog - longTerm.mean();
    longTerm.add(engineLog, sample.weight(), difference * difference, nowNanos);
    recent = recent(nowNanos).with(log, sample.weight());
    recentAtNanos = nowNanos;
  }

  /**
   * Adds samples of the other nodes. Peers send the same samples repeatedly until these have
   * decayed, so each call takes only the part that corresponds to the time since the last call.
   *
   * @param peerPace recent samples of the other nodes
   * @param common part of their logarithms that is currently the same at all engines
   * @param passedNanos time since the last call
   * @param nowNanos current time of the steady clock
   */
  void onPeerReport(RecentPace peerPace, double common, long passedNanos, long nowNanos) {
    double weight = peerPace.samples() * Math.min(1, (double) passedNanos / RecentPace.DECAY_NANOS);
    if (weight > 0) {
      double engineLog = peerPace.mean() - common;
      double difference = engineLog - longTerm.mean();
      longTerm.add(engineLog, weight, peerPace.samples() * difference * difference, nowNanos);
    }
  }

  /** Updates the state and returns whether it has changed since the last call. */
  boolean takeChange(double priorSamples, long nowNanos) {
    PaceState before = state;
    state = before.next(Math.exp(longTerm.log(priorSamples, nowNanos)));
    return state != before;
  }

  PaceState state() {
    return state;
  }
}
