package org.fallturn.core.pace;

import java.util.OptionalDouble;

/**
 * What one engine says of its own pace, and how far it is believed: wholly at first, and less each
 * time that work took much longer or shorter and this node's own estimate was nearer. A word stays
 * fresh for as long as the engine takes to say the next. One thread calls.
 */
final class ReportedPace {

  /** What a word that was wrong leaves of the trust in the next. */
  private static final double KEPT_WHEN_WRONG = 0.7;

  /** Trust that a word which was right gives back, as a part of what is missing. */
  private static final double REGAINED = 0.1;

  /** By how much nearer the estimate must be: single times vary. */
  private static final double MARGIN = Math.log(1.5);

  private double log;
  private double trust = 1;
  private double gapNanos;
  private long lastNanos;
  private boolean said;

  void say(double newLog, long atNanos) {
    if (said && atNanos - lastNanos > 0) {
      double gap = atNanos - lastNanos;
      gapNanos = gapNanos == 0 ? gap : (gapNanos + gap) / 2;
    }
    said = true;
    log = newLog;
    lastNanos = atNanos;
  }

  /** The word; empty where none was said. */
  OptionalDouble log() {
    return said ? OptionalDouble.of(log) : OptionalDouble.empty();
  }

  /** How much it counts, against the estimate; 0 to 1. */
  double weight(long nowNanos) {
    if (!said) {
      return 0;
    }
    double age = nowNanos - lastNanos;
    double fresh = age <= lasts() ? 1 : lasts() / age;
    return trust * fresh * fresh;
  }

  private double lasts() {
    return Math.max(gapNanos, RecentPace.FADE_NANOS);
  }

  /** What came of a word and of an estimate that were there when the work was sent. */
  void onOutcome(double word, double estimate, double came) {
    boolean wrong = Math.abs(came - word) > Math.abs(came - estimate) + MARGIN;
    trust =
        wrong || Math.abs(came - word) > 2 * MARGIN
            ? trust * KEPT_WHEN_WRONG
            : trust + REGAINED * (1 - trust);
  }
}
