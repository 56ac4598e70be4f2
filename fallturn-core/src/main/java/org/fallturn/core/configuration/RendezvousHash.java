package org.fallturn.core.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.fallturn.core.domain.NodeId;

/**
 * Orders nodes for a purpose by highest random weight: every node with the same view computes the
 * same order, and a node that comes or goes moves no other.
 */
public final class RendezvousHash {

  private static final long MIX_FIRST = 0xff51afd7ed558ccdL;
  private static final long MIX_SECOND = 0xc4ceb9fe1a85ec53L;
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final int MIX_SHIFT = 33;

  private RendezvousHash() {}

  /** The nodes in the order of their weight for a purpose. */
  public static List<NodeId> order(Collection<NodeId> nodes, String purpose) {
    Comparator<NodeId> byWeight = Comparator.comparingLong(node -> weight(node, purpose));
    return nodes.stream().sorted(byWeight.thenComparing(Comparator.naturalOrder())).toList();
  }

  private static long weight(NodeId node, String purpose) {
    String text = purpose + "/" + node.value();
    long hash = FNV_OFFSET;
    for (int index = 0; index < text.length(); index++) {
      hash = (hash ^ text.charAt(index)) * FNV_PRIME;
    }
    return mix(hash);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> MIX_SHIFT)) * MIX_FIRST;
    mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * MIX_SECOND;
    return mixed ^ (mixed >>> MIX_SHIFT);
  }
}
