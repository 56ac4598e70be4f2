package org.fallturn.core.dispatch;

import java.util.List;
import java.util.Optional;
import org.fallturn.core.quarantine.SharedPart;

/**
 * Size and parts of a prompt, known without reading its text. The last part belongs to the request
 * or its session alone; other requests share the parts before it. Immutable.
 *
 * @param model name of the model
 * @param promptTokens length of the prompt, in tokens
 * @param maxOutputTokens the most tokens to generate
 * @param parts the prompt's parts in order
 */
public record PromptShape(
    String model, int promptTokens, int maxOutputTokens, List<PromptPart> parts) {

  /** Shorter answers end within a few steps of the engine, whatever else it does meanwhile. */
  private static final int LONG_ANSWER_TOKENS = 32;

  /** Copies the list of parts. */
  public PromptShape {
    parts = List.copyOf(parts);
  }

  /** Whether the answer may be so long that the engine's other work slows it. */
  public boolean longAnswer() {
    return maxOutputTokens >= LONG_ANSWER_TOKENS;
  }

  /** The parts that other requests may share. */
  public List<PromptPart> sharedParts() {
    return parts.isEmpty() ? List.of() : parts.subList(0, parts.size() - 1);
  }

  /** The shared parts as the quarantine knows them. */
  public List<SharedPart> suspectParts() {
    return sharedParts().stream().map(part -> new SharedPart(model, part.id())).toList();
  }

  /** Total length of the shared parts, in tokens. */
  public int sharedTokens() {
    return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
  }

  /** The last shared part, which says most about where the prompt is cached. */
  public Optional<PromptPart> lastSharedPart() {
    List<PromptPart> shared = sharedParts();
    return shared.isEmpty() ? Optional.empty() : Optional.of(shared.get(shared.size() - 1));
  }
}
