package org.fallturn.core.dispatch;

import java.util.Optional;
import org.fallturn.core.routing.EngineStage;

/**
 * How fast the prefill engines of one service read prompts, learned from how long they took. The
 * first observations count most, so that the configured guess is gone after a few; later ones are
 * smoothed, and those that seem slow least, since a prompt may have waited unknown to this node. A
 * node that has learned nothing yet takes what another node learned. One thread calls.
 */
final class PrefillSpeed {

  /**
   * Weights of an observation once there are many. Nothing makes reading seem faster than it is,
   * but prompts of other nodes that are not known yet make it seem slower: one that is faster
   * counts for more. Judged.
   */
  private static final double FASTER_WEIGHT = 0.25;

  private static final double SLOWER_WEIGHT = 0.05;

  /** A node has learned enough to tell others, and needs no other's knowledge. */
  private static final int ENOUGH_SAMPLES = 8;

  /** Shorter prompts say more about the network than about reading. */
  private static final int MIN_TOKENS = 1_000;

  /** Bounds of what an observation can say, in tokens a ms. */
  private static final double SLOWEST = 2;

  private static final double FASTEST = 2_000;

  /** A decode engine reads at half the pace, between the tokens of its running requests. */
  private static final double DECODE_SHARE = 0.5;

  private double tokensPerMilli;
  private int samples;
  private boolean told;

  PrefillSpeed(double assumedTokensPerMilli) {
    this.tokensPerMilli = assumedTokensPerMilli;
  }

  /**
   * A prompt was read within a time, counted from when it was sent. Not from when its engine last
   * answered: it ends several prompts in one step, and the last of them would seem to take no time.
   *
   * @param aheadTokens that were known to wait before it
   */
  void observe(long aheadTokens, long tokens, double millis) {
    if (tokens < MIN_TOKENS || millis <= 0) {
      return;
    }
    double sample = Math.min(FASTEST, Math.max(SLOWEST, tokens / millis));
    boolean faster = sample > tokensPerMilli;
    if (!faster && aheadTokens > 0) {
      return;
    }
    samples++;
    double weight = Math.max(faster ? FASTER_WEIGHT : SLOWER_WEIGHT, 1.0 / (samples + 1));
    tokensPerMilli += weight * (sample - tokensPerMilli);
  }

  /** What this node can tell others; empty while it has seen little itself. */
  Optional<LearnedSpeed> learned() {
    return samples >= ENOUGH_SAMPLES
        ? Optional.of(new LearnedSpeed(tokenMillis()))
        : Optional.empty();
  }

  /** Whether it is more than a guess. */
  boolean isKnown() {
    return told || samples >= ENOUGH_SAMPLES;
  }

  /** Takes what another node has learned, unless this node has seen or heard enough. */
  void onPeerReport(LearnedSpeed learned) {
    if (isKnown() || learned.tokenMillis() <= 0) {
      return;
    }
    told = true;
    samples = ENOUGH_SAMPLES;
    tokensPerMilli = Math.min(FASTEST, Math.max(SLOWEST, 1 / learned.tokenMillis()));
  }

  /** Time in ms that a token takes at a prefill engine. */
  double tokenMillis() {
    return 1 / tokensPerMilli;
  }

  /** Time in ms in which an engine of a stage reads so many tokens. */
  double readMillis(EngineStage stage, long tokens) {
    return stage == EngineStage.PREFILL ? prefillMillis(tokens) : decodeMillis(tokens);
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
