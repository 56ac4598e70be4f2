package org.fallturn.core.configuration;

import java.util.Collection;
import java.util.List;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.RendezvousHash;

/** Which nodes of a zone read the head of the accepted sequence from the table. */
public final class HeadWatchers {

  /** Watchers of a zone. */
  public static final int PER_ZONE = 2;

  private HeadWatchers() {}

  /** The watchers among a zone's nodes; all of them when there are few. */
  public static List<NodeId> of(Collection<NodeId> zoneNodes) {
    return RendezvousHash.top("configuration-head", zoneNodes, PER_ZONE);
  }
}
