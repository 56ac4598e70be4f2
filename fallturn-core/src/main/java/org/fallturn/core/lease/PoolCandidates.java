package org.fallturn.core.lease;

import java.util.List;
import java.util.Set;
import org.fallturn.core.domain.NodeId;

/**
 * What a node derives from membership and machine list for one pool's lease.
 *
 * @param ownRank this node's place among the candidates, from 0; {@link #NO_CANDIDATE} for none
 * @param fairShare leases that each candidate should hold when they are spread evenly
 * @param healthyNodes nodes believed to be alive
 * @param witnessChoice the witnesses this node would name as the holder
 * @param listedNodes nodes that the machine list names
 * @param listVersion version of that machine list
 */
public record PoolCandidates(
    int ownRank,
    int fairShare,
    Set<NodeId> healthyNodes,
    List<LeaseWitness> witnessChoice,
    Set<NodeId> listedNodes,
    long listVersion) {

  /** Rank of a node that does not try for the lease. */
  public static final int NO_CANDIDATE = -1;

  /** Before anything is known. */
  static final PoolCandidates NONE =
      new PoolCandidates(NO_CANDIDATE, 0, Set.of(), List.of(), Set.of(), 0);

  /** Private copies of the collections. */
  public PoolCandidates {
    healthyNodes = Set.copyOf(healthyNodes);
    witnessChoice = List.copyOf(witnessChoice);
    listedNodes = Set.copyOf(listedNodes);
  }

  boolean isCandidate() {
    return ownRank != NO_CANDIDATE;
  }
}
