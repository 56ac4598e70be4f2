package org.fallturn.core.usage;

import java.util.Map;

/**
 * The counts that one process publishes to the nodes that collect them. Immutable.
 *
 * @param node name of the process's node
 * @param incarnation number that increases with each start of the node's process
 * @param counts numbers of requests that began to run there, by window and tenant
 */
public record UsageCounts(String node, long incarnation, Map<Long, Map<String, Integer>> counts) {

  /** Copies the counts. */
  public UsageCounts {
    counts = Map.copyOf(counts);
  }
}
