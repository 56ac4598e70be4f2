package org.fallturn.rehearsal.limits;

import org.fallturn.core.admission.QuotaNode;
import org.fallturn.core.domain.NodeId;

/** One node of a simulated fleet. */
final class SimulatedNode {

  final int index;
  final NodeId id;
  final QuotaNode quota;
  boolean dead;

  SimulatedNode(int index, QuotaNode quota) {
    this.index = index;
    this.id = id(index);
    this.quota = quota;
  }

  static NodeId id(int index) {
    return new NodeId("node-" + index);
  }
}
