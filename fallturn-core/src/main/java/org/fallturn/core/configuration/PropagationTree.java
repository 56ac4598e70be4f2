package org.fallturn.core.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.RendezvousHash;

/**
 * The tree along which one version is pushed through a zone. Its order differs from version to
 * version, so that no node is always near the root. Each node sends at most {@link #FAN_OUT}
 * messages for a version; one whose child does not answer sends to that child's children itself.
 */
public final class PropagationTree {

  /** Children of a node. */
  public static final int FAN_OUT = 3;

  private final List<NodeId> order;

  /**
   * The tree of a version.
   *
   * @param nodes the zone's nodes as this node sees them
   * @param version the version to push
   */
  public PropagationTree(Collection<NodeId> nodes, long version) {
    this.order = RendezvousHash.top("configuration-push/" + version, nodes, nodes.size());
  }

  /** Where the tree begins; empty when there are no nodes. */
  public List<NodeId> root() {
    return order.isEmpty() ? List.of() : order.subList(0, 1);
  }

  /** To whom a node passes the version on; empty for a node that is not in the tree. */
  public List<NodeId> childrenOf(NodeId node) {
    int position = order.indexOf(node);
    List<NodeId> children = new ArrayList<>();
    if (position < 0) {
      return children;
    }
    int first = position * FAN_OUT + 1;
    for (int child = first; child < Math.min(first + FAN_OUT, order.size()); child++) {
      children.add(order.get(child));
    }
    return children;
  }
}
