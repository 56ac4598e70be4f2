package org.fallturn.node.placement;

import java.util.Map;
import java.util.Optional;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PoolDigest;

/** Port that says who leads a pool, as far as known. Thread-safe, never blocks. */
public interface LeaderDirectory {
  /** The node believed to lead a pool. */
  Optional<Leader> leader(PoolId pool);

  /** The newest digest of each pool. */
  Map<PoolId, PoolDigest> digests();

  /**
   * A leader.
   *
   * @param node the node
   * @param address its peer port
   */
  record Leader(NodeId node, NetworkAddress address) {}
}
