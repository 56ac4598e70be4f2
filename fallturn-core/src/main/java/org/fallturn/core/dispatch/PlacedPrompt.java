package org.fallturn.core.dispatch;

import java.util.List;

/**
 * Parts of a prompt that were sent to an engine, which is expected to keep them in its cache.
 *
 * @param engineId id of the engine
 * @param readyInMillis time until the engine is expected to have read them, in ms
 * @param parts the parts in order
 */
public record PlacedPrompt(String engineId, int readyInMillis, List<PromptPart> parts) {

  /** Copies the list of parts. */
  public PlacedPrompt {
    parts = List.copyOf(parts);
  }
}
