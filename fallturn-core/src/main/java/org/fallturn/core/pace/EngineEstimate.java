package org.fallturn.core.pace;

/** What is known of the pace of one engine at one kind of work. One thread calls. */
final class EngineEstimate {

  private final LongTermPace lasting = new LongTermPace();
  private final ReportedPace own = new ReportedPace();
  private RecentPace recent = RecentPace.NONE;
  private long latelyNanos;
  private PaceState state = PaceState.USUAL;

  ReportedPace own() {
    return own;
  }

  LongTermPace lasting() {
    return lasting;
  }

  /** This node's samples that have not faded. */
  RecentPace recent(long nowNanos) {
    return recent.aged(nowNanos - latelyNanos);
  }

  /**
   * What is believed of it.
   *
   * @param told by others
   * @param kind what is known of all engines
   */
  PaceForecast forecast(RecentPace told, WorkKindPace kind, long nowNanos) {
    double mean = lasting.log(kind.usualSamples(), nowNanos);
    RecentPace all = recent(nowNanos).and(told);
    double moment = (all.sum() - all.samples() * (mean + kind.common())) / (all.samples() + 1);
    double estimate = mean + kind.momentWeight().get() * moment;
    double weight = own.weight(nowNanos);
    double together =
        own.log().isPresent()
            ? weight * own.log().getAsDouble() + (1 - weight) * estimate
            : estimate;
    return new PaceForecast(mean, moment, own.log(), PaceBounds.worthGoingBy(together));
  }

  /**
   * Takes a sample of this node.
   *
   * @param log against what is usual
   * @param common part of it that is the same at all engines now
   */
  void onSample(double log, double common, PaceSample sample, long nowNanos) {
    double apart = log - common;
    sample.forecast().own().ifPresent(word -> own.onOutcome(word, lasting.mean(), apart));
    double difference = apart - lasting.mean();
    lasting.add(apart, sample.weight(), difference * difference, nowNanos);
    recent = recent(nowNanos).with(log, sample.weight());
    latelyNanos = nowNanos;
  }

  /**
   * Other nodes' samples are told until they have faded: of each, the part that has passed since
   * the last turn is taken.
   */
  void onPeerReport(RecentPace told, double common, long passedNanos, long nowNanos) {
    double weight = told.samples() * Math.min(1, (double) passedNanos / RecentPace.FADE_NANOS);
    if (weight > 0) {
      double apart = told.mean() - common;
      double difference = apart - lasting.mean();
      lasting.add(apart, weight, told.samples() * difference * difference, nowNanos);
    }
  }

  /** Whether its state changed since the last call. */
  boolean takeChange(double usualSamples, long nowNanos) {
    PaceState before = state;
    state = before.next(Math.exp(lasting.log(usualSamples, nowNanos)));
    return state != before;
  }

  PaceState state() {
    return state;
  }
}
