package org.fallturn.core.configuration;

import java.util.Collection;
import java.util.List;
import org.fallturn.core.domain.NodeId;

/** Which nodes of a zone read the head of the accepted sequence from the table. */
public final class HeadWatchers {

  /** Watchers of a zone. */
  public static final int PER_ZONE = 2;

  private HeadWatchers() {}

  /** The watchers among a zone's nodes; all of them when there are few. */
  public static List<NodeId> of(Collection<NodeId> zoneNodes) {
    List<NodeId> order = RendezvousHash.order(zoneNodes, "configuration-head");
    return order.subList(0, Math.min(PER_ZONE, order.size()));
  }
}
