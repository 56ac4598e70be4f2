package org.fallturn.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * What this node has at one engine, and what the other nodes say they have there. One thread calls.
 */
final class EngineLoad {

  private static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final EngineHealth health = new EngineHealth();
  private int running;
  private long prefillTokens;
  private long silentUntilNanos;

  EngineHealth health() {
    return health;
  }

  /** Requests that this node has there. */
  int running() {
    return running;
  }

  /** Prompt tokens that this node has sent there to be read and that are not read yet. */
  long prefillTokens() {
    return prefillTokens;
  }

  /**
   * A request goes there.
   *
   * @param tokens prompt tokens it brings
   * @param expectedNanos how long the first part of its answer may take at the most
   */
  void add(int tokens, long expectedNanos, long nowNanos) {
    if (running == 0) {
      silentUntilNanos = nowNanos + expectedNanos;
    } else if (nowNanos + expectedNanos - silentUntilNanos > 0) {
      silentUntilNanos = nowNanos + expectedNanos;
    }
    running++;
    prefillTokens += tokens;
    health.onSent();
  }

  /** Any part of an answer came. */
  void onSignOfLife(long nowNanos) {
    silentUntilNanos = Math.max(silentUntilNanos, nowNanos + LONGEST_PAUSE_NANOS);
    health.onSignOfLife();
  }

  /** Suspends the engine when requests wait there and nothing comes. */
  void checkSilence(long nowNanos) {
    if (running > 0 && nowNanos - silentUntilNanos > 0) {
      health.onSilence(nowNanos);
    }
  }

  void remove(int tokens) {
    running--;
    prefillTokens -= tokens;
  }

  /** So many tokens were read; the request still runs. */
  void promptRead(int tokens) {
    prefillTokens -= tokens;
  }

  boolean idle() {
    return running == 0;
  }
}
