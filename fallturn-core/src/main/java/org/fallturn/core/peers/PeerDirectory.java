package org.fallturn.core.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The nodes that this node has heard, and those that others reported.
 *
 * <p>Invariant: a report on a node keeps the time at which some node heard it, so that a node that
 * is gone expires from every directory, however often it is reported. One thread calls.
 */
final class PeerDirectory {

  /**
   * How long a node counts as heard. Nodes send several messages per second; four or five lost
   * messages in a row are rare.
   */
  private static final long HEARD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /**
   * How long a reported node counts as known. Relays are reported every 500 ms, over two other
   * nodes at the most, and one message may be lost.
   */
  private static final long KNOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /**
   * How long a node that fell silent is still greeted now and then, as it may have been cut off.
   */
  private static final long REMEMBERED_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** How long a relay that fell silent is not chosen: until all nodes have stopped reporting it. */
  private static final long AVOIDED_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final PeerInfo self;
  private final Map<NetworkAddress, Entry> entries = new HashMap<>();
  private final Map<NetworkAddress, Long> avoidedUntil = new HashMap<>();
  private int greetingCount;

  /**
   * A known node.
   *
   * @param heardNanos when this node last heard it; null if it never did
   * @param lastHeardByAnyNanos when any node last heard it
   */
  private record Entry(PeerInfo info, Long heardNanos, long lastHeardByAnyNanos) {}

  PeerDirectory(PeerInfo self) {
    this.self = self;
  }

  /** Handles a message from a node. */
  void onHeard(PeerInfo peer, long nowNanos) {
    if (!isSelf(peer)) {
      entries.put(peer.address(), new Entry(peer, nowNanos, nowNanos));
    }
  }

  /** Handles another node's report on a node. */
  void onPeerReport(KnownPeer reported, long nowNanos) {
    PeerInfo peer = reported.info();
    long heardNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(reported.ageMillis());
    Entry previous = entries.get(peer.address());
    if (isSelf(peer) || previous != null && previous.lastHeardByAnyNanos - heardNanos >= 0) {
      return;
    }
    Long heardHereNanos = previous == null ? null : previous.heardNanos;
    entries.put(peer.address(), new Entry(peer, heardHereNanos, heardNanos));
  }

  /** Avoids a relay that has been silent for too long. */
  void avoid(NetworkAddress relay, long nowNanos) {
    avoidedUntil.put(relay, nowNanos + AVOIDED_NANOS);
  }

  private boolean isSelf(PeerInfo peer) {
    return peer.address().equals(self.address());
  }

  /** Returns whether this node itself has heard a node recently. */
  boolean heardRecently(NetworkAddress peer, long nowNanos) {
    Entry entry = entries.get(peer);
    return entry != null && wasHeard(entry, nowNanos);
  }

  private static boolean wasHeard(Entry entry, long nowNanos) {
    return entry.heardNanos != null && nowNanos - entry.heardNanos < HEARD_NANOS;
  }

  /** The nodes that any node heard recently and that are not avoided, without this node. */
  List<PeerInfo> known(long nowNanos) {
    avoidedUntil.values().removeIf(until -> nowNanos - until >= 0);
    List<PeerInfo> known = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean recently = nowNanos - entry.lastHeardByAnyNanos < KNOWN_NANOS;
      if (recently && !avoidedUntil.containsKey(entry.info.address())) {
        known.add(entry.info);
      }
    }
    return known;
  }

  /** The given nodes, as far as they are known, with the time since they were heard. */
  List<KnownPeer> withAges(List<PeerInfo> peers, long nowNanos) {
    List<KnownPeer> reported = new ArrayList<>();
    for (PeerInfo peer : peers) {
      Entry entry = entries.get(peer.address());
      if (isSelf(peer)) {
        reported.add(new KnownPeer(peer, 0));
      } else if (entry != null) {
        long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.lastHeardByAnyNanos);
        reported.add(new KnownPeer(peer, age));
      }
    }
    return reported;
  }

  /** Returns whether this node has heard any node recently. */
  boolean anyHeard(long nowNanos) {
    return entries.values().stream().anyMatch(entry -> wasHeard(entry, nowNanos));
  }

  /** The addresses of the nodes that this node itself has heard recently. */
  List<NetworkAddress> heard(long nowNanos) {
    return entries.values().stream()
        .filter(entry -> wasHeard(entry, nowNanos))
        .map(entry -> entry.info.address())
        .sorted()
        .toList();
  }

  /** The next node to greet, in turn, of the given addresses and the nodes that fell silent. */
  Optional<NetworkAddress> nextToGreet(Collection<NetworkAddress> seeds, long nowNanos) {
    entries.values().removeIf(entry -> nowNanos - entry.lastHeardByAnyNanos >= REMEMBERED_NANOS);
    List<NetworkAddress> candidates = new ArrayList<>(seeds);
    entries.keySet().stream().filter(peer -> !candidates.contains(peer)).forEach(candidates::add);
    candidates.removeIf(peer -> heardRecently(peer, nowNanos));
    candidates.sort(null);
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(Math.floorMod(greetingCount++, candidates.size())));
  }
}
