package org.fallturn.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Statistics of the prompt lengths of one service, as this node sees them. An engine reads a prompt
 * to its end before it begins the next, so the lengths tell how long one prompt may keep it busy.
 * Not thread-safe.
 */
final class PromptSizes {

  /**
   * Longer than reading any prompt takes. The longest prompt is remembered for one to two of these
   * windows.
   */
  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** Weight of one prompt in the moving averages, which thus cover about a hundred prompts. */
  private static final double SMOOTHING = 0.01;

  private long windowStartNanos;
  private long longestInWindow;
  private long longestInLastWindow;
  private double meanRead;
  private double meanSquareRead;
  private double meanCacheTokens;

  /**
   * Records a prompt that this node or another has placed.
   *
   * @param tokens its length
   */
  void onPrompt(long tokens, long nowNanos) {
    rollWindow(nowNanos);
    longestInWindow = Math.max(longestInWindow, tokens);
  }

  /**
   * Records a request that this node has placed.
   *
   * @param tokens tokens of KV cache that it occupies while it runs
   */
  void onCache(long tokens) {
    meanCacheTokens += (meanCacheTokens == 0 ? 1 : SMOOTHING) * (tokens - meanCacheTokens);
  }

  /** Average number of tokens of KV cache that one request occupies. */
  double meanCacheTokens() {
    return meanCacheTokens;
  }

  /**
   * Records a prompt that an engine has to read.
   *
   * @param tokens its tokens that the engine does not have cached
   */
  void onRead(long tokens) {
    double weight = meanRead == 0 ? 1 : SMOOTHING;
    meanRead += weight * (tokens - meanRead);
    meanSquareRead += weight * ((double) tokens * tokens - meanSquareRead);
  }

  /**
   * Length of the longest prompt of the last one to two windows, in tokens; 0 when there was none.
   */
  long longest(long nowNanos) {
    rollWindow(nowNanos);
    return Math.max(longestInWindow, longestInLastWindow);
  }

  /**
   * Expected number of tokens left to read of the prompt that a busy engine is reading: the mean
   * residual length, E[X^2] / (2 E[X]). A long prompt is more likely than a short one to be the one
   * being read, and half of it is left on average.
   */
  double meanResidualTokens() {
    return meanRead == 0 ? 0 : meanSquareRead / meanRead / 2;
  }

  private void rollWindow(long nowNanos) {
    if (nowNanos - windowStartNanos < WINDOW_NANOS) {
      return;
    }
    longestInLastWindow = nowNanos - windowStartNanos < 2 * WINDOW_NANOS ? longestInWindow : 0;
    longestInWindow = 0;
    windowStartNanos = nowNanos;
  }
}
