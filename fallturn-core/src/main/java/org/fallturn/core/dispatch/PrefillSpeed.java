package org.fallturn.core.dispatch;

import java.util.Optional;
import org.fallturn.core.routing.EngineStage;

/**
 * The speed at which the prefill engines of one service read prompts, learned from how long prompts
 * took.
 *
 * <p>The first observations have the largest weights, so that the configured assumption loses its
 * effect after a few of them. Later observations are smoothed exponentially. Slow ones have the
 * least weight, since a prompt may have waited behind others that this node did not know. A node
 * that has learned nothing yet takes over what another node has learned. Confined to one thread.
 */
final class PrefillSpeed {

  /**
   * Weight of an observation that is faster than the estimate, once there are many. Nothing makes
   * reading seem faster than it is, but prompts of other nodes that are not known yet make it seem
   * slower. A faster observation therefore has more weight. Both weights are estimates.
   */
  private static final double FASTER_WEIGHT = 0.25;

  /** Weight of an observation that is slower than the estimate, once there are many. */
  private static final double SLOWER_WEIGHT = 0.05;

  /**
   * Number of observations after which a node reports its speed to others and takes over none of
   * theirs.
   */
  private static final int ENOUGH_SAMPLES = 8;

  /**
   * Minimum length of an observed prompt in tokens: shorter prompts say more about the network than
   * about reading.
   */
  private static final int MIN_TOKENS = 1_000;

  /** Lower bound of an observation, in tokens per ms. */
  private static final double MIN_TOKENS_PER_MILLI = 2;

  /** Upper bound of an observation, in tokens per ms. */
  private static final double MAX_TOKENS_PER_MILLI = 2_000;

  /**
   * Speed of a decode engine relative to a prefill engine: it reads prompts between the tokens of
   * its running requests.
   */
  private static final double DECODE_SPEED_RATIO = 0.5;

  private double tokensPerMilli;
  private int samples;
  private boolean takenOver;

  PrefillSpeed(double assumedTokensPerMilli) {
    this.tokensPerMilli = assumedTokensPerMilli;
  }

  /**
   * Records that an engine has read a prompt. The time counts from the sending, and not from the
   * last answer of the engine: an engine ends several prompts in one step, and the last of them
   * would seem to take no time.
   *
   * @param aheadTokens tokens that were known to wait before the prompt
   * @param tokens length of the prompt in tokens
   * @param millis time in ms from the sending until the prompt was read
   */
  void observe(long aheadTokens, long tokens, double millis) {
    if (tokens < MIN_TOKENS || millis <= 0) {
      return;
    }
    double sample = Math.min(MAX_TOKENS_PER_MILLI, Math.max(MIN_TOKENS_PER_MILLI, tokens / millis));
    boolean faster = sample > tokensPerMilli;
    if (!faster && aheadTokens > 0) {
      return;
    }
    samples++;
    double weight = Math.max(faster ? FASTER_WEIGHT : SLOWER_WEIGHT, 1.0 / (samples + 1));
    tokensPerMilli += weight * (sample - tokensPerMilli);
  }

  /**
   * Returns the speed that this node can report to others; empty while it has seen too few prompts
   * itself and has taken over no other node's speed.
   */
  Optional<LearnedSpeed> learned() {
    return samples >= ENOUGH_SAMPLES
        ? Optional.of(new LearnedSpeed(tokenMillis()))
        : Optional.empty();
  }

  /** Returns whether the speed was learned here or taken over, and is more than an assumption. */
  boolean isKnown() {
    return takenOver || samples >= ENOUGH_SAMPLES;
  }

  /** Takes over what another node has learned, unless this node already knows the speed. */
  void onPeerReport(LearnedSpeed learned) {
    if (isKnown() || learned.tokenMillis() <= 0) {
      return;
    }
    takenOver = true;
    samples = ENOUGH_SAMPLES;
    tokensPerMilli =
        Math.min(MAX_TOKENS_PER_MILLI, Math.max(MIN_TOKENS_PER_MILLI, 1 / learned.tokenMillis()));
  }

  /** Returns the time in ms that a prefill engine takes to read a token. */
  double tokenMillis() {
    return 1 / tokensPerMilli;
  }

  /** Returns the time in ms that an engine of a stage takes to read some tokens. */
  double readMillis(EngineStage stage, long tokens) {
    return stage == EngineStage.PREFILL ? prefillMillis(tokens) : decodeMillis(tokens);
  }

  /** Returns the time in ms that a prefill engine takes to read some tokens. */
  double prefillMillis(long tokens) {
    return tokens / tokensPerMilli;
  }

  /** Returns the time in ms that a decode engine takes to read some tokens. */
  double decodeMillis(long tokens) {
    return tokens / (DECODE_SPEED_RATIO * tokensPerMilli);
  }
}
