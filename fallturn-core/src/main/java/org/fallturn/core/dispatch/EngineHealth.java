package org.fallturn.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Health of one engine as this node sees it from the outcomes of its attempts (a circuit breaker).
 *
 * <p>Failures in a row, or silence while requests wait at the engine, suspend it. Each further
 * suspension is longer, up to a maximum. After a suspension one request at a time probes the
 * engine. If another engine answers in the engine's place, the engine is suspended for the longest
 * time at once. A share of failed attempts makes an engine less attractive without suspending it.
 *
 * <p>A sign of life that another node receives shows that only the link of this node is at fault,
 * if the engine is suspended for silence or because no connection could be opened. It is then used
 * through other nodes or, if none can forward requests, again directly. Confined to one thread.
 */
final class EngineHealth {

  private static final int FAILURES_TO_SUSPEND = 2;

  /** Failures in a row through other nodes after which the engine itself counts as faulty. */
  private static final int FORWARDED_FAILURES_TO_SUSPEND = 3;

  private static final long FIRST_SUSPENSION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long MAX_SUSPENSION_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final double FAILURE_SHARE_WEIGHT = 0.15;

  /**
   * Half-life of the failure share in ns. It equals the longest suspension, since an engine that
   * has failed until then is tried again.
   */
  private static final double FAILURE_SHARE_HALF_LIFE_NANOS = MAX_SUSPENSION_NANOS;

  private int failuresInRow;
  private long suspendedAtNanos;
  private long suspendedUntilNanos;
  private long suspensionNanos = FIRST_SUSPENSION_NANOS;
  private boolean suspended;
  private boolean probing;
  private double failureShare;
  private long failureShareAtNanos;
  private boolean silent;
  private boolean misdirected;
  private boolean linkSuspect;
  private boolean connectFailed;
  private boolean throughPeers;
  private boolean linkWorked;
  private int forwardedFailuresInRow;
  private boolean reportedSuspended;
  private boolean reportedThroughPeers;

  /** Returns whether the engine was suspended or resumed since the last call. */
  boolean takeChange() {
    boolean changed = reportedSuspended != suspended || reportedThroughPeers != throughPeers;
    reportedSuspended = suspended;
    reportedThroughPeers = throughPeers;
    return changed;
  }

  /** Returns whether the last suspension was for silence. */
  boolean silent() {
    return silent;
  }

  /** Returns whether a request may be sent to the engine now. */
  boolean usable(long nowNanos) {
    if (!suspended || throughPeers) {
      return true;
    }
    return !probing && nowNanos - suspendedUntilNanos >= 0;
  }

  /**
   * Returns whether the engine is suspended because another engine answered in its place. Unlike
   * one that merely fails, it cannot serve a request even if all others of its service fail.
   */
  boolean isReplaced(long nowNanos) {
    return misdirected && !usable(nowNanos);
  }

  /**
   * Returns whether other nodes should send nothing to the engine: while it is suspended, and while
   * a request probes it. It is false once the engine may be probed, since nodes that warn each
   * other would otherwise never use it again.
   */
  boolean warnsOthers(long nowNanos) {
    return suspended && !throughPeers && (probing || nowNanos - suspendedUntilNanos < 0);
  }

  /**
   * Handles a sign of life that another node has received.
   *
   * @param heardNanos time at which the other node received it
   * @param canForward whether other nodes can forward requests of this one
   */
  void onPeerSignOfLife(long heardNanos, boolean canForward) {
    if (!suspended || !linkSuspect || heardNanos - suspendedAtNanos <= 0) {
      return;
    }
    if (canForward) {
      throughPeers = true;
    } else if (silent) {
      onSignOfLife();
    }
  }

  /**
   * Returns whether the engine is suspended, or is being probed after a suspension. An engine that
   * is used through other nodes is not.
   */
  boolean suspended() {
    return suspended && !throughPeers;
  }

  /** Returns whether requests are sent to the engine through other nodes. */
  boolean throughPeers() {
    return throughPeers;
  }

  /** Returns whether a request could not be sent and no probe has been answered since. */
  boolean connectFailed() {
    return connectFailed;
  }

  /** Returns whether nothing has come by the own link yet and no attempt has failed on it. */
  boolean isLinkUntried() {
    return !linkWorked && !suspended && failuresInRow == 0;
  }

  /** Records that this node reaches the engine by its own link. */
  void onPathWorks() {
    connectFailed = false;
    linkWorked = true;
    if (throughPeers) {
      resume();
    }
  }

  /** Records that this node does not reach the engine while others do. */
  void onPathLost(long nowNanos) {
    silent = true;
    linkSuspect = true;
    misdirected = false;
    suspend(nowNanos);
    throughPeers = true;
    forwardedFailuresInRow = 0;
  }

  /** Records that a part of an answer came through another node. */
  void onForwardedSignOfLife() {
    forwardedFailuresInRow = 0;
  }

  /** Records that a request that was sent through another node was answered with success. */
  void onForwardedSuccess(long nowNanos) {
    onForwardedSignOfLife();
    updateFailureShare(0, nowNanos);
  }

  /** Records that the engine refused or failed a request that reached it through another node. */
  void onForwardedRefusal(long nowNanos) {
    onForwardedSignOfLife();
    updateFailureShare(1, nowNanos);
  }

  /** Records that a request that was sent through another node failed on its way or there. */
  void onForwardedFailure(long nowNanos) {
    forwardedFailuresInRow++;
    if (throughPeers && forwardedFailuresInRow >= FORWARDED_FAILURES_TO_SUSPEND) {
      suspend(nowNanos);
    }
  }

  /**
   * Returns the recent share of attempts that failed, 0 to 1, as an exponentially weighted moving
   * average. It decays while nothing is sent to the engine: otherwise a fault that makes an engine
   * less attractive would never be found to have ended.
   */
  double failureShare(long nowNanos) {
    if (failureShare == 0) {
      return 0;
    }
    return failureShare
        * Math.pow(0.5, (nowNanos - failureShareAtNanos) / FAILURE_SHARE_HALF_LIFE_NANOS);
  }

  void onSent() {
    if (suspended()) {
      probing = true;
    }
  }

  void onSuccess(long nowNanos) {
    onSignOfLife();
    updateFailureShare(0, nowNanos);
  }

  private void updateFailureShare(double failed, long nowNanos) {
    double before = failureShare(nowNanos);
    failureShare = before + FAILURE_SHARE_WEIGHT * (failed - before);
    failureShareAtNanos = nowNanos;
  }

  /**
   * Ends a suspension because some bytes of an answer arrived. They do not end a detour: open
   * connections may live on while new ones are refused.
   */
  void onSignOfLife() {
    failuresInRow = 0;
    linkWorked = true;
    if (!throughPeers) {
      resume();
    }
  }

  private void resume() {
    failuresInRow = 0;
    misdirected = false;
    suspended = false;
    throughPeers = false;
    probing = false;
    forwardedFailuresInRow = 0;
    suspensionNanos = FIRST_SUSPENSION_NANOS;
  }

  void onFailure(AttemptOutcome outcome, long nowNanos) {
    if (outcome == AttemptOutcome.HELD_BACK) {
      onAbandoned();
      return;
    }
    boolean probed = probing;
    probing = false;
    connectFailed |= outcome == AttemptOutcome.NOT_SENT;
    updateFailureShare(1, nowNanos);
    if (outcome == AttemptOutcome.MISDIRECTED) {
      silent = false;
      linkSuspect = false;
      misdirected = true;
      suspensionNanos = MAX_SUSPENSION_NANOS;
      suspend(nowNanos);
      return;
    }
    if (!outcome.blamesEngine()) {
      return;
    }
    failuresInRow++;
    if (suspended ? probed : failuresInRow >= FAILURES_TO_SUSPEND) {
      silent = outcome == AttemptOutcome.SILENT;
      linkSuspect = silent || outcome == AttemptOutcome.NOT_SENT;
      misdirected = false;
      suspend(nowNanos);
    }
  }

  /**
   * Suspends the engine because requests wait there and nothing has come for longer than they
   * should take.
   */
  void onSilence(long nowNanos) {
    if (!suspended) {
      silent = true;
      linkSuspect = true;
      suspend(nowNanos);
    }
  }

  /** Resets the engine to one that was never used. */
  void reset() {
    resume();
    failureShare = 0;
  }

  /** Records that an attempt ended for a reason that says nothing about the engine. */
  void onAbandoned() {
    probing = false;
  }

  private void suspend(long nowNanos) {
    if (suspended) {
      suspensionNanos = Math.min(2 * suspensionNanos, MAX_SUSPENSION_NANOS);
    }
    suspended = true;
    throughPeers = false;
    suspendedAtNanos = nowNanos;
    suspendedUntilNanos = nowNanos + suspensionNanos;
  }
}
