package org.fallturn.core.disconnect;

import java.util.Set;

/**
 * What an engine says that it works on.
 *
 * @param running ids of the requests that it has made a token of
 * @param unnamed number of its other requests: they wait, or their prompts are being read
 */
public record EngineWork(Set<String> running, long unnamed) {

  /** Copies the ids. */
  public EngineWork {
    running = Set.copyOf(running);
  }
}
