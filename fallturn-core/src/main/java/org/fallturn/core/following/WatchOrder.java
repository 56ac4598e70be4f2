package org.fallturn.core.following;

import java.util.List;
import org.fallturn.core.domain.NetworkAddress;

/**
 * A node's place in the order in which nodes take over the watch of the store, as this node sees
 * it. Nodes that know the same peers agree on the order; where they do not, more nodes than needed
 * may watch.
 *
 * @param rank position of this node in the order; 0 watches first
 * @param nodes number of nodes, this one included
 * @param alone whether this node has heard no other node lately
 * @param hasSeeds whether this node knows addresses of other nodes that it may still hear from
 * @param askable the nodes that this node asks for rows, in this order; a node may occur twice
 */
public record WatchOrder(
    int rank, int nodes, boolean alone, boolean hasSeeds, List<NetworkAddress> askable) {

  /** Copies the nodes to ask. */
  public WatchOrder {
    askable = List.copyOf(askable);
  }

  /**
   * Returns the order of a node that knows no other.
   *
   * @param hasSeeds whether it knows addresses of other nodes that it may still hear from
   */
  public static WatchOrder ofOne(boolean hasSeeds) {
    return new WatchOrder(0, 1, true, hasSeeds, List.of());
  }
}
