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
 * The nodes that this one has heard, and those of which others told.
 *
 * <p>Invariant: what is told of a node keeps the time at which somebody heard it, so that a node
 * that is gone fades from every directory, however often it is told on. One thread calls.
 */
final class PeerDirectory {

  /** Nodes speak several times a second; four or five lost messages in a row are rare. */
  private static final long HEARD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Relays are told of every 500 ms, over two others at the most, and one message may be lost. */
  private static final long KNOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** For so long a node that fell silent is greeted now and then, as it may have been cut off. */
  private static final long REMEMBERED_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** For so long a relay that fell silent is not chosen: until all have ceased to tell of it. */
  private static final long AVOIDED_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final PeerInfo self;
  private final Map<NetworkAddress, Entry> entries = new HashMap<>();
  private final Map<NetworkAddress, Long> avoidedUntil = new HashMap<>();
  private int turn;

  /** What is known of a node; when this node heard it is null where it never did. */
  private record Entry(PeerInfo info, Long heardNanos, long someoneHeardNanos) {}

  PeerDirectory(PeerInfo self) {
    this.self = self;
  }

  /** A node spoke. */
  void onHeard(PeerInfo peer, long nowNanos) {
    if (!isSelf(peer)) {
      entries.put(peer.address(), new Entry(peer, nowNanos, nowNanos));
    }
  }

  /** A node told of another. */
  void onPeerReport(KnownPeer told, long nowNanos) {
    PeerInfo peer = told.info();
    long heardNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(told.ageMillis());
    Entry before = entries.get(peer.address());
    if (isSelf(peer) || before != null && before.someoneHeardNanos - heardNanos >= 0) {
      return;
    }
    Long ownNanos = before == null ? null : before.heardNanos;
    entries.put(peer.address(), new Entry(peer, ownNanos, heardNanos));
  }

  /** A relay has said nothing for too long. */
  void avoid(NetworkAddress relay, long nowNanos) {
    avoidedUntil.put(relay, nowNanos + AVOIDED_NANOS);
  }

  private boolean isSelf(PeerInfo peer) {
    return peer.address().equals(self.address());
  }

  /** Whether a node was heard lately by this one. */
  boolean heardLately(NetworkAddress peer, long nowNanos) {
    Entry entry = entries.get(peer);
    return entry != null && wasHeard(entry, nowNanos);
  }

  private static boolean wasHeard(Entry entry, long nowNanos) {
    return entry.heardNanos != null && nowNanos - entry.heardNanos < HEARD_NANOS;
  }

  /** Nodes that anybody heard lately and that are not avoided, this one not among them. */
  List<PeerInfo> known(long nowNanos) {
    avoidedUntil.values().removeIf(until -> nowNanos - until >= 0);
    List<PeerInfo> known = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean lately = nowNanos - entry.someoneHeardNanos < KNOWN_NANOS;
      if (lately && !avoidedUntil.containsKey(entry.info.address())) {
        known.add(entry.info);
      }
    }
    return known;
  }

  /** Nodes to be told of, with the time since they were heard. */
  List<KnownPeer> withAges(List<PeerInfo> peers, long nowNanos) {
    List<KnownPeer> told = new ArrayList<>();
    for (PeerInfo peer : peers) {
      Entry entry = entries.get(peer.address());
      if (isSelf(peer)) {
        told.add(new KnownPeer(peer, 0));
      } else if (entry != null) {
        long age = TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.someoneHeardNanos);
        told.add(new KnownPeer(peer, age));
      }
    }
    return told;
  }

  /** Whether any node was heard lately. */
  boolean anyHeard(long nowNanos) {
    return entries.values().stream().anyMatch(entry -> wasHeard(entry, nowNanos));
  }

  /** Nodes heard directly and lately. */
  List<NetworkAddress> heard(long nowNanos) {
    return entries.values().stream()
        .filter(entry -> wasHeard(entry, nowNanos))
        .map(entry -> entry.info.address())
        .sorted()
        .toList();
  }

  /** The next in turn of the given addresses and of nodes that fell silent. */
  Optional<NetworkAddress> nextToGreet(Collection<NetworkAddress> seeds, long nowNanos) {
    entries.values().removeIf(entry -> nowNanos - entry.someoneHeardNanos >= REMEMBERED_NANOS);
    List<NetworkAddress> candidates = new ArrayList<>(seeds);
    entries.keySet().stream().filter(peer -> !candidates.contains(peer)).forEach(candidates::add);
    candidates.removeIf(peer -> heardLately(peer, nowNanos));
    candidates.sort(null);
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(Math.floorMod(turn++, candidates.size())));
  }
}
