package org.fallturn.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.fallturn.core.domain.NodeId;

/**
 * Highest-random-weight hashing: nodes that know the same members agree on who does a duty, and a
 * member that goes moves only its own duties.
 */
public final class RendezvousHash {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** Bits of a hash beyond those that a double holds. */
  private static final int UNUSED_BITS = 11;

  private static final double RANGE = 0x1p53;

  private RendezvousHash() {}

  /** The nodes with the highest weights for a duty, highest first. */
  public static List<NodeId> top(String duty, Collection<NodeId> nodes, int count) {
    Comparator<Ranked> byWeight =
        (left, right) -> {
          int order = Long.compareUnsigned(right.weight, left.weight);
          return order != 0 ? order : left.node.compareTo(right.node);
        };
    return nodes.stream()
        .map(node -> new Ranked(node, weight(duty, node)))
        .sorted(byWeight)
        .limit(count)
        .map(Ranked::node)
        .toList();
  }

  /** Weight of a node for a duty, an unsigned number. */
  public static long weight(String duty, NodeId node) {
    return weight(duty, node.value());
  }

  /** Weight of any named candidate for a duty, an unsigned number. */
  public static long weight(String duty, String candidate) {
    long hash = mix(mix(FNV_OFFSET, duty), candidate);
    hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return hash ^ (hash >>> 33);
  }

  /** The weight as a part, from 0 to below 1. */
  public static double draw(String duty, String candidate) {
    return (weight(duty, candidate) >>> UNUSED_BITS) / RANGE;
  }

  private static long mix(long seed, String text) {
    long hash = seed;
    for (int index = 0; index < text.length(); index++) {
      hash = (hash ^ text.charAt(index)) * FNV_PRIME;
    }
    return (hash ^ '\n') * FNV_PRIME;
  }

  private record Ranked(NodeId node, long weight) {}
}
