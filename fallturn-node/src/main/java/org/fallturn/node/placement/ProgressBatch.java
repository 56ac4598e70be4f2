package org.fallturn.node.placement;

import java.util.List;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PlacementProgress;

/**
 * Progress of placed requests, to the node that leads their pools. Also asks whether it still leads
 * the pools that hold requests of the sender.
 *
 * @param progress in the order it happened
 * @param asked pools whose leadership the sender wants confirmed
 */
public record ProgressBatch(List<PlacementProgress> progress, List<PoolId> asked) {
  /** Private copies of the lists. */
  public ProgressBatch {
    progress = List.copyOf(progress);
    asked = List.copyOf(asked);
  }
}
