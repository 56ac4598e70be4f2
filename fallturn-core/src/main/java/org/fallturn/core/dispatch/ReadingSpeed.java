package org.fallturn.core.dispatch;

/**
 * How fast prefill engines of one service read prompts, learned from how long they took. One thread
 * calls.
 */
final class ReadingSpeed {

  private static final double SMOOTHING = 0.1;
  private static final int MIN_TOKENS = 1_000;
  private static final double SLOWEST = 2;
  private static final double FASTEST = 2_000;

  /** A decode engine reads at half the pace, between the tokens of its running requests. */
  private static final double DECODE_SHARE = 0.5;

  private double tokensPerMilli;

  ReadingSpeed(double assumedTokensPerMilli) {
    this.tokensPerMilli = assumedTokensPerMilli;
  }

  /** A prompt behind a backlog, in tokens together, was read within a time. */
  void observe(long tokens, double millis) {
    if (tokens < MIN_TOKENS || millis <= 0) {
      return;
    }
    double sample = Math.min(FASTEST, Math.max(SLOWEST, tokens / millis));
    tokensPerMilli += SMOOTHING * (sample - tokensPerMilli);
  }

  /** Time in ms in which a prefill engine reads so many tokens. */
  double prefillMillis(long tokens) {
    return tokens / tokensPerMilli;
  }

  /** Time in ms in which a decode engine reads so many tokens. */
  double decodeMillis(long tokens) {
    return tokens / (DECODE_SHARE * tokensPerMilli);
  }
}
