package org.fallturn.core.limits;

/**
 * What a node knows of a shared budget when it takes a unit or is denied one; logged, so that the
 * parts of all nodes can be added up afterwards. Immutable.
 *
 * @param reserve units that this node may take within a window, whatever the others take
 * @param pool units that it may take within a round trip from what no node reserves
 * @param used units that it took within the last window
 * @param usedByOthers units that the other nodes are known to have taken within a window
 * @param limit units that all nodes together may take within a window, as far as this node knows
 * @param nodesHeard number of nodes whose reports count, this one included
 * @param nodes number of nodes that the fixed part is divided by; 0 while it is unknown
 * @param sharing whether this node has counted for a whole window
 */
public record BudgetState(
    double reserve,
    double pool,
    int used,
    double usedByOthers,
    double limit,
    int nodesHeard,
    int nodes,
    boolean sharing) {}
