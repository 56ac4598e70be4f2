package org.fallturn.core.usage;

import java.util.Map;

/**
 * What one process tells of its counts. Immutable.
 *
 * @param node its name
 * @param incarnation rises with each start of the node's process
 * @param counts requests that began to run there, by window and tenant
 */
public record UsageCounts(String node, long incarnation, Map<Long, Map<String, Integer>> counts) {

  /** A private copy. */
  public UsageCounts {
    counts = Map.copyOf(counts);
  }
}
