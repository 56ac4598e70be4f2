package org.fallturn.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * What outcomes say of one engine. Failures in a row, or silence while requests wait there, suspend
 * it for a growing time, after which one request at a time tries it again; an answer by another
 * engine in its place suspends it for the longest time at once; a share of failed answers makes it
 * less attractive without suspending it. One thread calls.
 */
final class EngineHealth {

  private static final int FAILURES_TO_SUSPEND = 2;
  private static final long FIRST_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long MAX_SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final double SMOOTHING = 0.15;

  private int failuresInRow;
  private long suspendedUntilNanos;
  private long suspensionNanos = FIRST_SUSPENSION_NANOS;
  private boolean suspended;
  private boolean probing;
  private double failureShare;
  private boolean silent;
  private boolean told;

  /** Whether it was suspended or taken back since the last call. */
  boolean takeChange() {
    boolean changed = told != suspended;
    told = suspended;
    return changed;
  }

  /** Whether silence led to the last suspension. */
  boolean silent() {
    return silent;
  }

  /** Whether a request may go there now. */
  boolean usable(long nowNanos) {
    if (!suspended) {
      return true;
    }
    return !probing && nowNanos - suspendedUntilNanos >= 0;
  }

  /** Whether it is suspended, or tried again after a suspension. */
  boolean suspended() {
    return suspended;
  }

  /** Recent share of attempts that failed, 0 to 1. */
  double failureShare() {
    return failureShare;
  }

  void onSent() {
    if (suspended) {
      probing = true;
    }
  }

  void onGood() {
    onSignOfLife();
    failureShare -= SMOOTHING * failureShare;
  }

  /** Any byte of an answer. */
  void onSignOfLife() {
    failuresInRow = 0;
    suspended = false;
    probing = false;
    suspensionNanos = FIRST_SUSPENSION_NANOS;
  }

  void onFailure(AttemptOutcome outcome, long nowNanos) {
    probing = false;
    failureShare += SMOOTHING * (1 - failureShare);
    if (outcome == AttemptOutcome.MISDIRECTED) {
      silent = false;
      suspensionNanos = MAX_SUSPENSION_NANOS;
      suspend(nowNanos);
      return;
    }
    if (!outcome.blamesEngine()) {
      return;
    }
    failuresInRow++;
    if (failuresInRow >= FAILURES_TO_SUSPEND || suspended) {
      silent = outcome == AttemptOutcome.SILENT;
      suspend(nowNanos);
    }
  }

  /** Requests wait there and nothing has come for longer than they should take. */
  void onSilence(long nowNanos) {
    if (!suspended) {
      silent = true;
      suspend(nowNanos);
    }
  }

  /** Forgets everything, as for an engine that was never used. */
  void reset() {
    onSignOfLife();
    failureShare = 0;
  }

  /** The attempt ended for a reason that says nothing about the engine. */
  void onAbandoned() {
    probing = false;
  }

  private void suspend(long nowNanos) {
    if (suspended) {
      suspensionNanos = Math.min(2 * suspensionNanos, MAX_SUSPENSION_NANOS);
    }
    suspended = true;
    suspendedUntilNanos = nowNanos + suspensionNanos;
  }
}
