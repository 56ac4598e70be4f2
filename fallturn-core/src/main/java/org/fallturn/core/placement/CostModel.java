package org.fallturn.core.placement;

import org.fallturn.core.roles.EngineRates;

/**
 * How long work takes on the engines of one pool, measured from the leader's own observations: a
 * prompt costs an overhead plus a time a token; a stream's token interval rises with the batch.
 * Used by the scheduler's thread only.
 */
final class CostModel {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PRIOR_PROMPT_TOKENS = 1000;
  private static final long CALIBRATED_AFTER = 20;

  private final int decodeSlots;
  private final double transferSeconds;
  private final double farTransferSeconds;
  private final DecayingLinearFit prefillSeconds;
  private final DecayingLinearFit tokenSeconds;

  CostModel(PlacementParameters parameters) {
    decodeSlots = parameters.decodeSlots();
    transferSeconds = parameters.kvTransfer().toNanos() / NANOS_PER_SECOND;
    farTransferSeconds = parameters.farTransfer().toNanos() / NANOS_PER_SECOND;
    prefillSeconds =
        new DecayingLinearFit(
            0, 0, PRIOR_PROMPT_TOKENS, PRIOR_PROMPT_TOKENS / parameters.prefillTokensPerSecond());
    tokenSeconds =
        new DecayingLinearFit(
            1,
            parameters.firstTokenInterval().toNanos() / NANOS_PER_SECOND,
            decodeSlots,
            parameters.fullBatchInterval().toNanos() / NANOS_PER_SECOND);
  }

  /** A prompt part of so many tokens took so long on an otherwise idle prefill engine. */
  void onPrefilled(long tokens, long nanos) {
    prefillSeconds.add(tokens, nanos / NANOS_PER_SECOND);
  }

  /** A stream of so many tokens took so long in a batch of about this size. */
  void onDecoded(long tokens, long nanos, double meanBatch) {
    if (tokens > 0) {
      tokenSeconds.add(meanBatch, nanos / NANOS_PER_SECOND / tokens);
    }
  }

  /** Whether enough was measured to refuse a request for what the model predicts. */
  boolean isCalibrated() {
    return tokenSeconds.samples() >= CALIBRATED_AFTER;
  }

  double prefillSeconds(double tokens) {
    return tokens <= 0 ? 0 : prefillSeconds.predict(tokens);
  }

  double decodeSeconds(double tokens, double batch) {
    return tokens * tokenSeconds.predict(Math.max(1, Math.min(batch, decodeSlots)));
  }

  double transferSeconds(boolean sameZone) {
    return sameZone ? transferSeconds : transferSeconds + farTransferSeconds;
  }

  /** Engine time that a request takes up: its prompt, and its part of a full batch. */
  double engineSeconds(long promptTokens, long outputTokens) {
    return prefillSeconds(promptTokens) + decodeSeconds(outputTokens, decodeSlots) / decodeSlots;
  }

  EngineRates rates() {
    double prefillRate = PRIOR_PROMPT_TOKENS / prefillSeconds.predict(PRIOR_PROMPT_TOKENS);
    double decodeRate = decodeSlots / tokenSeconds.predict(decodeSlots);
    return new EngineRates(prefillRate, decodeRate, decodeSlots);
  }
}
