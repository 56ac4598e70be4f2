package org.fallturn.core.dispatch;

import java.util.List;
import java.util.Optional;

/**
 * What is known of a prompt without reading it. The last part belongs to the request or its
 * session; those before it are shared with other requests. Immutable.
 *
 * @param model name of the model
 * @param promptTokens tokens to read
 * @param maxOutputTokens the most tokens to generate
 * @param parts the prompt's parts in order
 */
public record PromptShape(
    String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {

  /** Shorter answers end within some steps of their engine, whatever it does beside. */
  private static final int LONG_ANSWER_TOKENS = 32;

  /** A private copy of the parts. */
  public PromptShape {
    parts = List.copyOf(parts);
  }

  /** Whether its answer may run for long, so that it matters what its engine does beside. */
  public boolean longAnswer() {
    return maxOutputTokens >= LONG_ANSWER_TOKENS;
  }

  /** The parts that other requests share. */
  public List<PromptPart> sharedParts() {
    return parts.isEmpty() ? List.of() : parts.subList(0, parts.size() - 1);
  }

  /** Tokens of the shared parts. */
  public int sharedTokens() {
    return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
  }

  /** The shared part that tells most about where the prompt is cached. */
  public Optional<PromptPart> lastSharedPart() {
    List<PromptPart> shared = sharedParts();
    return shared.isEmpty() ? Optional.empty() : Optional.of(shared.get(shared.size() - 1));
  }
}
