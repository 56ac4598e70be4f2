package org.fallturn.core.following;

import java.util.List;
import org.fallturn.core.domain.NetworkAddress;

/**
 * A node's place among those that watch the store, as far as it knows. Nodes that know the same
 * others agree on it; where they do not, one more watches.
 *
 * @param rank place in the order in which nodes take over the watch; the first watches
 * @param nodes how many nodes there are, this one included
 * @param alone whether no other node was heard lately
 * @param hasSeeds whether there are others that may still be heard
 * @param askable whom this node asks for rows, in this order; a node may stand there twice
 */
public record WatchOrder(
    int rank, int nodes, boolean alone, boolean hasSeeds, List<NetworkAddress> askable) {

  /** A private copy. */
  public WatchOrder {
    askable = List.copyOf(askable);
  }

  /** The order of a node that knows nobody. */
  public static WatchOrder ofOne(boolean hasSeeds) {
    return new WatchOrder(0, 1, true, hasSeeds, List.of());
  }
}
