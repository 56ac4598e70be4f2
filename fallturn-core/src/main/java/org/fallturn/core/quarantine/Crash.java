package org.fallturn.core.quarantine;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** An engine that crashed or only seemed to, and the probes that tell which. One thread calls. */
final class Crash {

  /** An engine that answers its first probes is alive; its connection broke for another reason. */
  private static final int MAX_PROBES = 3;

  /** The time after which an unanswered probe is repeated: some round trips to an engine. */
  private static final long PROBE_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /**
   * Crashes within this time have one cause. The engines of a rack go down within a few ms when it
   * loses power. The crashes of one content are apart by the time that it takes to send and begin
   * it, some 100 ms between the first and the third.
   */
  private static final long ONE_CAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final long atNanos;
  private final boolean seenHere;
  private final boolean alone;
  private boolean engineGone;
  private int probes;
  private long probedNanos;

  /**
   * Creates a crash.
   *
   * @param seen what is known of the engine's end
   * @param atNanos time in ns of the crash
   * @param seenHere whether this node saw it
   */
  Crash(SeenCrash seen, long atNanos, boolean seenHere) {
    this.atNanos = atNanos;
    this.seenHere = seenHere;
    this.alone = seen.alone();
    this.engineGone = seen.engineGone();
  }

  long atNanos() {
    return atNanos;
  }

  boolean seenHere() {
    return seenHere;
  }

  /** Returns whether it was the engine with the fewest other requests. */
  boolean alone() {
    return alone;
  }

  /** Returns whether the engine has been found to be gone. */
  boolean engineGone() {
    return engineGone;
  }

  void setEngineGone() {
    engineGone = true;
  }

  /** Returns whether crashes, at least one, do not all have one cause. */
  static boolean areSpreadInTime(List<Crash> counted) {
    long first = counted.get(0).atNanos;
    long least = 0;
    long most = 0;
    for (Crash crash : counted) {
      least = Math.min(least, crash.atNanos - first);
      most = Math.max(most, crash.atNanos - first);
    }
    return most - least >= ONE_CAUSE_NANOS;
  }

  boolean takeProbeDue(long nowNanos) {
    boolean due =
        !engineGone
            && probes < MAX_PROBES
            && (probes == 0 || nowNanos - probedNanos >= PROBE_PAUSE_NANOS);
    if (due) {
      probes++;
      probedNanos = nowNanos;
    }
    return due;
  }
}
