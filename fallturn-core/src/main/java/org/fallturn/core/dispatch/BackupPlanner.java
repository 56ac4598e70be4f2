package org.fallturn.core.dispatch;

import java.util.Comparator;
import java.util.Optional;
import org.fallturn.core.routing.ServingEngine;

/**
 * Chooses the engine that keeps a copy of a stream's KV cache while another generates it, so that
 * the stream can go on there when its engine ends. One thread calls.
 */
final class BackupPlanner {

  /**
   * A copy costs the move of the prompt and saves the rest of the answer, so that a prompt may have
   * so many tokens for each token of the longest answer. Of the kinds that were measured, the one
   * that pays has 3, the next one 70.
   */
  private static final int MAX_PROMPT_TOKENS_AN_OUTPUT_TOKEN = 16;

  /** Shorter answers are over before an engine that is about to end does. */
  private static final int MIN_OUTPUT_TOKENS = 16;

  private final EngineSelector selector;

  BackupPlanner(EngineSelector selector) {
    this.selector = selector;
  }

  /** Who keeps the copy, when the request is worth one and there is another engine. */
  Optional<ServingEngine> choose(RequestProgress progress, ServingEngine runs, long nowNanos) {
    if (!worthACopy(progress.envelope())) {
      return Optional.empty();
    }
    return selector.runCandidates(progress, nowNanos).stream()
        .filter(engine -> !engine.id().equals(runs.id()))
        .min(
            Comparator.comparing((ServingEngine engine) -> !engine.zone().equals(runs.zone()))
                .thenComparingInt(engine -> selector.running(engine, nowNanos))
                .thenComparing(ServingEngine::id));
  }

  private static boolean worthACopy(RequestEnvelope envelope) {
    return envelope.route().streaming()
        && envelope
            .prompt()
            .filter(prompt -> prompt.maxOutputTokens() >= MIN_OUTPUT_TOKENS)
            .filter(
                prompt ->
                    prompt.promptTokens()
                        <= MAX_PROMPT_TOKENS_AN_OUTPUT_TOKEN * (long) prompt.maxOutputTokens())
            .isPresent();
  }

  /** Where a stream that broke off can go on. */
  Optional<ServingEngine> usable(RequestProgress progress, long nowNanos) {
    return progress
        .backup()
        .filter(
            copy ->
                selector.runCandidates(progress, nowNanos).stream()
                    .anyMatch(engine -> engine.id().equals(copy.id())));
  }
}
