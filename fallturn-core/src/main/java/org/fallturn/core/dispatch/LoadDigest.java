package org.fallturn.core.dispatch;

import java.util.List;
import java.util.Map;

/**
 * One node's load, told to the other nodes. Immutable.
 *
 * @param node name of the node
 * @param incarnation rises with each start of the node's process
 * @param sequence rises with each digest of a process
 * @param engines what it has where, by engine id; engines it has nothing at are left out
 * @param prompts prompts it placed since the digest before
 * @param speeds how fast engines read, by service, as far as it has learned it
 */
public record LoadDigest(
    String node,
    long incarnation,
    long sequence,
    Map<String, EngineDigest> engines,
    List<PlacedPrompt> prompts,
    Map<String, LearnedSpeed> speeds) {

  /** Private copies. */
  public LoadDigest {
    engines = Map.copyOf(engines);
    prompts = List.copyOf(prompts);
    speeds = Map.copyOf(speeds);
  }

  /** Whether this was said after the other, by a later process or later in the same one. */
  public boolean isNewerThan(LoadDigest other) {
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : sequence > other.sequence;
  }
}
