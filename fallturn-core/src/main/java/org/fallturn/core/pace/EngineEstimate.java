package org.fallturn.core.pace;

/** What is known of the pace of one engine at one kind of work. One thread calls. */
final class EngineEstimate {

  private final LastingPace lasting = new LastingPace();
  private final OwnWord own = new OwnWord();
  private PaceWord lately = PaceWord.NONE;
  private long latelyNanos;
  private PaceState state = PaceState.USUAL;

  OwnWord own() {
    return own;
  }

  /** This node's samples that have not faded. */
  PaceWord lately(long nowNanos) {
    return lately.aged(nowNanos - latelyNanos);
  }

  PaceForecast forecast(PaceWord told, double momentWeight, long nowNanos) {
    double mean = lasting.log(nowNanos);
    PaceWord all = lately(nowNanos).and(told);
    double moment = (all.sum() - all.samples() * mean) / (all.samples() + 1);
    double estimate = mean + momentWeight * moment;
    double weight = own.weight(nowNanos);
    double together =
        own.log().isPresent()
            ? weight * own.log().getAsDouble() + (1 - weight) * estimate
            : estimate;
    return new PaceForecast(mean, moment, own.log(), PaceBounds.bounded(together));
  }

  void onSample(double log, PaceForecast forecast, long nowNanos) {
    forecast.own().ifPresent(word -> own.onOutcome(word, lasting.log(nowNanos), log));
    lasting.add(log, 1, nowNanos);
    lately = lately(nowNanos).with(log);
    latelyNanos = nowNanos;
  }

  /**
   * Other nodes' samples are told until they have faded: of each, the part that has passed since
   * the last turn is taken.
   */
  void onTold(PaceWord told, long passedNanos, long nowNanos) {
    double weight = told.samples() * Math.min(1, (double) passedNanos / PaceWord.FADE_NANOS);
    if (weight > 0) {
      lasting.add(told.mean(), weight, nowNanos);
    }
  }

  double lastingLog(long nowNanos) {
    return lasting.log(nowNanos);
  }

  /** Whether its state changed since the last call. */
  boolean takeChange(long nowNanos) {
    PaceState before = state;
    state = before.next(Math.exp(lasting.log(nowNanos)));
    return state != before;
  }

  PaceState state() {
    return state;
  }
}
