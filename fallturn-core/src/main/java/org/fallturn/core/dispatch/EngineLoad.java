package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** What this node has at one engine. One thread calls. */
final class EngineLoad {

  private static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final EngineHealth health = new EngineHealth();
  private final PromptBacklog backlog = new PromptBacklog();
  private final List<RequestProgress> unread = new ArrayList<>();
  private int running;
  private int streams;
  private int awaited;
  private long silentUntilNanos;
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
   * @param expectedNanos how long the first part of its answer may take at the most
   */
  void add(RequestProgress progress, long expectedNanos, long nowNanos) {
    running++;
    if (!progress.goesBehind()) {
      expectSign(expectedNanos, nowNanos);
    }
    if (progress.chargedTokens() > 0) {
      backlog.add(progress.level(), progress.chargedTokens());
      unread.add(progress);
    }
    health.onSent();
  }

  /** How long one that goes behind others waits says nothing about the engine. */
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

  /** Whether any part of an answer came after a time. */
  boolean heardSince(long nanos) {
    return heard && heardNanos - nanos > 0;
  }

  /** Suspends the engine when requests wait there and nothing comes. */
  void checkSilence(long nowNanos) {
    if (awaited > 0 && nowNanos - silentUntilNanos > 0) {
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
    if (!progress.goesBehind()) {
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
