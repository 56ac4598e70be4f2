package org.fallturn.core.peers;

import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.membership.RendezvousHash;

/**
 * A node as the others know it. Immutable.
 *
 * @param address where it hears of load
 * @param zone its zone
 * @param capacity messages a second that its processor and link can carry, whichever is less
 */
public record PeerInfo(NetworkAddress address, String zone, int capacity) {

  private static final String RANK = "relay";

  /**
   * Messages a second of one core. A message is read or written in about 0.1 ms: an estimate from
   * the processor time of a node with 120 messages a second (docs/experiments/large.md).
   */
  private static final double MESSAGES_A_CORE = 10_000;

  /** Messages a second of a Mbit/s: 40 of some 3 KB, what a fleet of 95 nodes has to tell. */
  private static final double MESSAGES_A_MBPS = 40;

  /** Capacity of a machine with such a processor and link. */
  public static int capacityOf(double cores, double bandwidthMbps) {
    return (int) Math.max(1, Math.min(cores * MESSAGES_A_CORE, bandwidthMbps * MESSAGES_A_MBPS));
  }

  /** A total order on which all nodes agree: by capacity, then by a hash of the address. */
  public boolean ranksBefore(PeerInfo other) {
    if (capacity != other.capacity) {
      return capacity > other.capacity;
    }
    int byHash = Long.compareUnsigned(rank(), other.rank());
    return byHash != 0 ? byHash > 0 : address.compareTo(other.address) < 0;
  }

  private long rank() {
    return RendezvousHash.weight(RANK, address.toString());
  }

  /** As a record would, without the method handles whose making each start would pay. */
  @Override
  public boolean equals(Object other) {
    return other instanceof PeerInfo that
        && capacity == that.capacity
        && address.equals(that.address)
        && zone.equals(that.zone);
  }

  @Override
  public int hashCode() {
    return 31 * address.hashCode() + capacity;
  }
}
