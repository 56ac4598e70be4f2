package org.fallturn.core.admission;

import java.util.Set;
import org.fallturn.core.domain.NodeId;

/**
 * The nodes of the fleet as one node sees them; the node itself is among them.
 *
 * @param eligible nodes that may own quotas: alive or suspect, not leaving
 * @param seen nodes that are not dead
 * @param listed nodes on the platform's machine list
 */
public record QuotaSurroundings(Set<NodeId> eligible, Set<NodeId> seen, Set<NodeId> listed) {

  /** Private copies of the sets. */
  public QuotaSurroundings {
    eligible = Set.copyOf(eligible);
    seen = Set.copyOf(seen);
    listed = Set.copyOf(listed);
  }

  /** Whether the nodes seen are more than half of the listed ones. */
  public boolean hasMajority() {
    long both = listed.stream().filter(seen::contains).count();
    return listed.isEmpty() || 2 * both > listed.size();
  }

  /** Nodes among which local fractions are divided. */
  public int nodeCount() {
    return Math.max(listed.size(), seen.size());
  }
}
