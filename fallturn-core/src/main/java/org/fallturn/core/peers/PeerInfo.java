package org.fallturn.core.peers;

import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.membership.RendezvousHash;

/**
 * A node as the others know it. Immutable.
 *
 * @param address where it receives messages about load
 * @param zone its zone
 * @param capacity messages per second that its processor or its link can handle, whichever is less
 */
public record PeerInfo(NetworkAddress address, String zone, int capacity) {

  private static final String RANK_PURPOSE = "relay";

  /**
   * Messages per second of one core. Reading or writing a message takes about 0.1 ms, estimated
   * from the processor time of a node with 120 messages per second (docs/experiments/large.md).
   */
  private static final double MESSAGES_PER_CORE = 10_000;

  /**
   * Messages per second of one Mbit/s: 40 messages of some 3 KB, the size in a fleet of 95 nodes.
   */
  private static final double MESSAGES_PER_MBPS = 40;

  /**
   * Returns the capacity of a machine.
   *
   * @param cores number of processor cores
   * @param bandwidthMbps bandwidth of the link in Mbit/s
   */
  public static int capacityOf(double cores, double bandwidthMbps) {
    return (int)
        Math.max(1, Math.min(cores * MESSAGES_PER_CORE, bandwidthMbps * MESSAGES_PER_MBPS));
  }

  /**
   * Returns whether this node ranks before another one. All nodes agree on this total order: by
   * capacity, then by a hash of the address.
   */
  public boolean ranksBefore(PeerInfo other) {
    if (capacity != other.capacity) {
      return capacity > other.capacity;
    }
    int byHash = Long.compareUnsigned(rank(), other.rank());
    return byHash != 0 ? byHash > 0 : address.compareTo(other.address) < 0;
  }

  private long rank() {
    return RendezvousHash.weight(RANK_PURPOSE, address.toString());
  }

  /**
   * Compares like the generated method of a record, without the method handles that the JVM would
   * have to link at each start.
   */
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
