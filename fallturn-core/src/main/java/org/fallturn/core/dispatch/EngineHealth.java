package org.fallturn.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * What outcomes say of one engine. Failures in a row, or silence while requests wait there, suspend
 * it for a growing time, after which one request at a time tries it again; a sign of life to
 * another node ends a suspension for silence; an answer by another engine in its place suspends it
 * for the longest time at once; a share of failed answers makes it less attractive without
 * suspending it. One thread calls.
 */
final class EngineHealth {

  private static final int FAILURES_TO_SUSPEND = 2;
  private static final long FIRST_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long MAX_SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final double SMOOTHING = 0.15;

  /** The longest suspension: an engine that failed until then is tried again. */
  private static final double SHARE_HALF_LIFE_NANOS = MAX_SUSPENSION_NANOS;

  private int failuresInRow;
  private long suspendedAtNanos;
  private long suspendedUntilNanos;
  private long suspensionNanos = FIRST_SUSPENSION_NANOS;
  private boolean suspended;
  private boolean probing;
  private double failureShare;
  private long shareAtNanos;
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

  /**
   * Whether other nodes had better not send anything there: while it is suspended, or tried again.
   * Not once it may be tried, since nodes that hold each other off would never use it again.
   */
  boolean warnsOthers(long nowNanos) {
    return suspended && (probing || nowNanos - suspendedUntilNanos < 0);
  }

  /** Another node had a sign of life, which ends a suspension for silence that began before. */
  void onPeerSignOfLife(long heardNanos) {
    if (suspended && silent && heardNanos - suspendedAtNanos > 0) {
      onSignOfLife();
    }
  }

  /** Whether it is suspended, or tried again after a suspension. */
  boolean suspended() {
    return suspended;
  }

  /**
   * Recent share of attempts that failed, 0 to 1. It fades while nothing is sent there: what makes
   * an engine less attractive would else never be found to have ended.
   */
  double failureShare(long nowNanos) {
    if (failureShare == 0) {
      return 0;
    }
    return failureShare * Math.pow(0.5, (nowNanos - shareAtNanos) / SHARE_HALF_LIFE_NANOS);
  }

  void onSent() {
    if (suspended) {
      probing = true;
    }
  }

  void onSuccess(long nowNanos) {
    onSignOfLife();
    countAttempt(0, nowNanos);
  }

  private void countAttempt(double failed, long nowNanos) {
    double before = failureShare(nowNanos);
    failureShare = before + SMOOTHING * (failed - before);
    shareAtNanos = nowNanos;
  }

  /** Any byte of an answer. */
  void onSignOfLife() {
    failuresInRow = 0;
    suspended = false;
    probing = false;
    suspensionNanos = FIRST_SUSPENSION_NANOS;
  }

  void onFailure(AttemptOutcome outcome, long nowNanos) {
    if (outcome == AttemptOutcome.HELD_BACK) {
      onAbandoned();
      return;
    }
    boolean tried = probing;
    probing = false;
    countAttempt(1, nowNanos);
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
    if (suspended ? tried : failuresInRow >= FAILURES_TO_SUSPEND) {
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
    suspendedAtNanos = nowNanos;
    suspendedUntilNanos = nowNanos + suspensionNanos;
  }
}
