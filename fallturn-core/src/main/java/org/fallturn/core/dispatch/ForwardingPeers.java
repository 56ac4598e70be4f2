package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The nodes through which this one can send requests to engines that it does not reach itself. A
 * node that could not pass a request on is avoided for a while, since its links may be cut as well.
 * Confined to one thread.
 */
final class ForwardingPeers {

  private static final long AVOIDED_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<NetworkAddress, Long> avoidedUntilNanos = new HashMap<>();
  private List<NetworkAddress> peers = List.of();
  private int next;

  /** Sets the nodes that were heard recently. */
  void set(List<NetworkAddress> heard) {
    peers = heard;
    avoidedUntilNanos.keySet().retainAll(heard);
  }

  /** Whether no node is known. */
  boolean isEmpty() {
    return peers.isEmpty();
  }

  /** The next node in turn that is not avoided; empty if there is none. */
  Optional<NetworkAddress> choose(long nowNanos) {
    avoidedUntilNanos.values().removeIf(until -> nowNanos - until >= 0);
    for (int tried = 0; tried < peers.size(); tried++) {
      NetworkAddress peer = peers.get(Math.floorMod(next++, peers.size()));
      if (!avoidedUntilNanos.containsKey(peer)) {
        return Optional.of(peer);
      }
    }
    return Optional.empty();
  }

  /** Records that a node could not pass a request on. */
  void avoid(NetworkAddress peer, long nowNanos) {
    avoidedUntilNanos.put(peer, nowNanos + AVOIDED_NANOS);
  }
}
