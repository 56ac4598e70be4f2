package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** What this node has at one engine. One thread calls. */
final class EngineLoad {

  /** An engine that works gives somebody a sign more often. */
  static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final EngineHealth health = new EngineHealth();
  private final PromptBacklog backlog = new PromptBacklog();
  private final List<RequestProgress> unread = new ArrayList<>();
  private int running;
  private int streams;
  private int awaited;
  private long silentUntilNanos;
  private int behind;
  private long longestGapNanos;
  private long lastBehindNanos;
  private long heardNanos;
  private boolean heard;

  EngineHealth health() {
    return health;
  }

  /** Requests that this node has there. */
  int running() {
    return running;
  }

  /** Long answers among them that have begun. */
  int streams() {
    return streams;
  }

  /** The answer to a request begins. */
  void onBegan(RequestProgress progress) {
    promptRead(progress);
    if (progress.begin() && progress.longAnswer()) {
      streams++;
    }
  }

  /** Prompt tokens that this node has sent there to be read and that are not read yet. */
  PromptBacklog backlog() {
    return backlog;
  }

  /**
   * A request goes there; its progress tells the tokens and the urgency it brings.
   *
   * @param silenceNanos how long the engine may say nothing: for one that goes behind others, to
   *     any node; else, to this node
   */
  void add(RequestProgress progress, long silenceNanos, long nowNanos) {
    running++;
    if (progress.goesBehind()) {
      expectSignToAny(silenceNanos, nowNanos);
    } else {
      expectSign(silenceNanos, nowNanos);
    }
    if (progress.chargedTokens() > 0) {
      backlog.add(progress.level(), progress.chargedTokens());
      unread.add(progress);
    }
    health.onSent();
  }

  /** How long one that goes behind others waits says nothing, but whether others are answered. */
  private void expectSignToAny(long gapNanos, long nowNanos) {
    longestGapNanos = behind == 0 ? gapNanos : Math.max(longestGapNanos, gapNanos);
    lastBehindNanos = nowNanos;
    behind++;
  }

  private void expectSign(long expectedNanos, long nowNanos) {
    if (awaited == 0 || nowNanos + expectedNanos - silentUntilNanos > 0) {
      silentUntilNanos = nowNanos + expectedNanos;
    }
    awaited++;
  }

  /** Any part of an answer came. */
  void onSignOfLife(long nowNanos) {
    heard = true;
    heardNanos = nowNanos;
    silentUntilNanos = Math.max(silentUntilNanos, nowNanos + LONGEST_PAUSE_NANOS);
    health.onSignOfLife();
  }

  /** When any part of an answer came last. */
  OptionalLong heardNanos() {
    return heard ? OptionalLong.of(heardNanos) : OptionalLong.empty();
  }

  /** The last sign of life to this node or another, or the beginning where none came since. */
  long lastSign(long beginNanos, OptionalLong peersHeardNanos) {
    return later(later(beginNanos, heardNanos()), peersHeardNanos);
  }

  private static long later(long nanos, OptionalLong other) {
    return other.isPresent() && other.getAsLong() - nanos > 0 ? other.getAsLong() : nanos;
  }

  /**
   * Suspends the engine when requests wait there and nothing comes, to this node or another: an
   * engine that answers anybody works, and merely has much to do.
   *
   * @param peersHeardNanos when another node last had a sign of life from it
   */
  void checkSilence(OptionalLong peersHeardNanos, long nowNanos) {
    boolean overdue = awaited > 0 && nowNanos - silentUntilNanos > 0;
    boolean behindOnly = awaited == 0 && behind > 0;
    long gap = behindOnly ? longestGapNanos : LONGEST_PAUSE_NANOS;
    long begin = behindOnly ? lastBehindNanos : silentUntilNanos - LONGEST_PAUSE_NANOS;
    if ((overdue || behindOnly) && nowNanos - lastSign(begin, peersHeardNanos) > gap) {
      health.onSilence(nowNanos);
    }
  }

  /** The prompt of a request was read, ahead of those sent before that are no less urgent. */
  void promptRead(RequestProgress read) {
    forgetPrompt(read);
    for (RequestProgress other : unread) {
      if (other.sentNanos() - read.sentNanos() < 0 && other.level() <= read.level()) {
        other.overtaken();
      }
    }
  }

  /** The request is no longer there. */
  void remove(RequestProgress progress) {
    running--;
    if (progress.begun() && progress.longAnswer()) {
      streams--;
    }
    if (progress.goesBehind()) {
      behind--;
    } else {
      awaited--;
    }
    forgetPrompt(progress);
  }

  private void forgetPrompt(RequestProgress progress) {
    if (unread.remove(progress)) {
      backlog.add(progress.level(), -progress.chargedTokens());
    }
  }

  boolean idle() {
    return running == 0;
  }
}
