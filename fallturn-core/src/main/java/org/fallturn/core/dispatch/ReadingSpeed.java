package org.fallturn.core.dispatch;

import java.util.Optional;
import org.fallturn.core.estimate.DecayingLinearFit;

/**
 * How fast the prefill engines of one service read prompts: an overhead and a time a token, learned
 * from how long they took. A node that has learned nothing yet takes what another node learned; the
 * configured guess weighs less than one observation. One thread calls.
 */
final class ReadingSpeed {

  /** Each of the two points that the configured guess stands for, against an observation's 1. */
  private static final double GUESS_WEIGHT = 0.5;

  /** Each of the two points that another node's knowledge stands for. */
  private static final double TOLD_WEIGHT = 5;

  /** A node has learned enough to tell others, and needs no other's knowledge. */
  private static final int ENOUGH_SAMPLES = 8;

  /** Size of prompt at which a guess is turned into a point of the fit. */
  private static final double USUAL_TOKENS = 10_000;

  /** Shorter prompts say more about the network than about reading. */
  private static final int MIN_TOKENS = 1_000;

  /** No engine is believed to read faster, in ms a token, whatever a poor fit says. */
  private static final double LEAST_TOKEN_MILLIS = 0.0005;

  /** A decode engine reads at half the pace, between the tokens of its running requests. */
  private static final double DECODE_SHARE = 0.5;

  private DecayingLinearFit fit;
  private boolean told;

  ReadingSpeed(double assumedTokensPerMilli) {
    this.fit =
        new DecayingLinearFit(
            0, 0, USUAL_TOKENS, USUAL_TOKENS / assumedTokensPerMilli, GUESS_WEIGHT);
  }

  /** A prompt behind a backlog, in tokens together, was read within a time. */
  void observe(long tokens, double millis) {
    if (tokens >= MIN_TOKENS) {
      fit.add(tokens, millis);
    }
  }

  /** What this node can tell others; empty while it has seen little itself. */
  Optional<LearnedSpeed> learned() {
    return fit.samples() >= ENOUGH_SAMPLES
        ? Optional.of(new LearnedSpeed(fit.predict(0), tokenMillis()))
        : Optional.empty();
  }

  /** Whether it is more than a guess. */
  boolean isKnown() {
    return told || fit.samples() >= ENOUGH_SAMPLES;
  }

  /** Takes what another node has learned, unless this node has seen or heard enough. */
  void onTold(LearnedSpeed learned) {
    if (told || fit.samples() >= ENOUGH_SAMPLES) {
      return;
    }
    told = true;
    double overhead = learned.overheadMillis();
    fit =
        new DecayingLinearFit(
            0,
            overhead,
            USUAL_TOKENS,
            overhead + USUAL_TOKENS * learned.tokenMillis(),
            TOLD_WEIGHT);
  }

  /** Time in ms that a token takes at a prefill engine. */
  double tokenMillis() {
    return Math.max(LEAST_TOKEN_MILLIS, fit.slope());
  }

  /** Time in ms in which a prefill engine reads so many tokens. */
  double prefillMillis(long tokens) {
    return fit.predict(0) + tokenMillis() * tokens;
  }

  /** Time in ms in which a decode engine reads so many tokens. */
  double decodeMillis(long tokens) {
    return tokenMillis() * tokens / DECODE_SHARE;
  }
}
