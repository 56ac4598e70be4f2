package org.fallturn.core.dispatch;

import java.util.List;

/**
 * Parts of a prompt that an engine reads and is expected to keep.
 *
 * @param engineId the engine
 * @param readyInMillis when it should have read them
 * @param parts the parts in order
 */
public record PlacedPrompt(String engineId, int readyInMillis, List<PromptPart> parts) {

  /** A private copy of the parts. */
  public PlacedPrompt {
    parts = List.copyOf(parts);
  }
}
