package org.fallturn.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * How long the prompts of one service are, as this node sees them. An engine reads a prompt to its
 * end before it takes the next, so that the lengths say how long it may be busy with one. One
 * thread calls.
 */
final class PromptSizes {

  /** Longer than any prompt is read; the longest is remembered for one to two of these. */
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** Weight of one prompt in the means: some hundred of them are remembered. */
  private static final double SMOOTHING = 0.01;

  private long beganNanos;
  private long longest;
  private long longestBefore;
  private double meanRead;
  private double meanSquareRead;
  private double meanCache;

  /** A prompt of so many tokens was placed, by this node or another. */
  void onPrompt(long tokens, long nowNanos) {
    turn(nowNanos);
    longest = Math.max(longest, tokens);
  }

  /** A request that was placed holds so many tokens of KV cache when it runs. */
  void onCache(long tokens) {
    meanCache += (meanCache == 0 ? 1 : SMOOTHING) * (tokens - meanCache);
  }

  /** Tokens that one request holds, on average. */
  double meanCache() {
    return meanCache;
  }

  /** So many tokens of a prompt have to be read, since no part of the others is kept. */
  void onRead(long tokens) {
    double weight = meanRead == 0 ? 1 : SMOOTHING;
    meanRead += weight * (tokens - meanRead);
    meanSquareRead += weight * ((double) tokens * tokens - meanSquareRead);
  }

  /** The longest prompt lately; 0 when there was none. */
  long longest(long nowNanos) {
    turn(nowNanos);
    return Math.max(longest, longestBefore);
  }

  /**
   * Tokens that are left, on average, of the prompt that a busy engine reads: long ones are met
   * more often than short ones, in the middle of their reading.
   */
  double leftOfOne() {
    return meanRead == 0 ? 0 : meanSquareRead / meanRead / 2;
  }

  private void turn(long nowNanos) {
    if (nowNanos - beganNanos < WINDOW_NANOS) {
      return;
    }
    longestBefore = nowNanos - beganNanos < 2 * WINDOW_NANOS ? longest : 0;
    longest = 0;
    beganNanos = nowNanos;
  }
}
