package org.fallturn.core.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The nodes through which this one can send requests to engines that it does not reach itself. A
 * node that could not pass a request on to an engine is avoided for that engine for a while: its
 * own link may be cut as well, or the engine may have ended. A node that failed for two engines,
 * with no answer through it in between, is avoided for all.
 *
 * <p>Invariant: while any node is known, one is chosen. A request has a better chance at a node
 * that failed a moment ago than on a link that is known to be lost. Confined to one thread.
 */
final class ForwardingPeers {

  private static final long AVOIDED_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** The record of one node. */
  private static final class Peer {

    private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
    private String failedEngine = "";
    private boolean avoidedForAll;

    void onFailure(String engineId, long nowNanos) {
      avoidedUntilNanos.put(engineId, nowNanos + AVOIDED_NANOS);
      avoidedForAll |= !failedEngine.isEmpty() && !failedEngine.equals(engineId);
      failedEngine = engineId;
    }

    void onAnswer() {
      failedEngine = "";
      avoidedForAll = false;
    }

    /** When the node may be used for an engine again; not after now if it may be used already. */
    long avoidedUntil(String engineId, long nowNanos) {
      avoidedUntilNanos.values().removeIf(until -> until - nowNanos <= 0);
      if (avoidedUntilNanos.isEmpty()) {
        onAnswer();
      }
      long ofEngine = avoidedUntilNanos.getOrDefault(engineId, nowNanos);
      return avoidedForAll
          ? avoidedUntilNanos.values().stream().reduce(ofEngine, Peer::later)
          : ofEngine;
    }

    private static long later(long one, long other) {
      return other - one > 0 ? other : one;
    }
  }

  private final Map<NetworkAddress, Peer> records = new HashMap<>();
  private List<NetworkAddress> peers = List.of();
  private int next;

  /** Sets the nodes that were heard recently. */
  void set(List<NetworkAddress> heard) {
    peers = heard;
    records.keySet().retainAll(heard);
  }

  /** Whether no node is known. */
  boolean isEmpty() {
    return peers.isEmpty();
  }

  /**
   * The next node in turn that is not avoided for an engine, or else the one that may be used again
   * first; empty if no node is known.
   */
  Optional<NetworkAddress> choose(String engineId, long nowNanos) {
    for (int tried = 0; tried < peers.size(); tried++) {
      NetworkAddress peer = peers.get(Math.floorMod(next++, peers.size()));
      if (avoidedForNanos(peer, engineId, nowNanos) <= 0) {
        return Optional.of(peer);
      }
    }
    return peers.stream()
        .min(Comparator.comparingLong(peer -> avoidedForNanos(peer, engineId, nowNanos)));
  }

  private long avoidedForNanos(NetworkAddress peer, String engineId, long nowNanos) {
    Peer peerRecord = records.get(peer);
    return peerRecord == null ? 0 : peerRecord.avoidedUntil(engineId, nowNanos) - nowNanos;
  }

  /** Records that a node could not pass a request on to an engine. */
  void onFailure(NetworkAddress peer, String engineId, long nowNanos) {
    records.computeIfAbsent(peer, address -> new Peer()).onFailure(engineId, nowNanos);
  }

  /** Records that an engine answered a request that a node passed on. */
  void onAnswer(NetworkAddress peer) {
    Peer peerRecord = records.get(peer);
    if (peerRecord != null) {
      peerRecord.onAnswer();
    }
  }
}
