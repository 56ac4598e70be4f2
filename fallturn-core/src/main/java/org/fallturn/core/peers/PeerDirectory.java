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
 * The nodes that this one has heard, and relays that others have heard. Only who was heard directly
 * is told on, so that a node that is gone fades from every directory. One thread calls.
 */
final class PeerDirectory {

  /** Nodes speak several times a second; four or five lost messages in a row are rare. */
  private static final long LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** For so long a node that fell silent is greeted now and then, as it may have been cut off. */
  private static final long REMEMBERED_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** For so long a relay that fell silent is not chosen. */
  private static final long AVOIDED_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final PeerInfo self;
  private final Map<NetworkAddress, Entry> entries = new HashMap<>();
  private final Map<NetworkAddress, Long> avoidedUntil = new HashMap<>();
  private int turn;

  /** What is known of a node; a time of null stands for never. */
  private record Entry(PeerInfo info, Long heardNanos, Long toldNanos) {}

  PeerDirectory(PeerInfo self) {
    this.self = self;
  }

  /** A node spoke. */
  void onHeard(PeerInfo peer, long nowNanos) {
    if (!isSelf(peer)) {
      Entry before = entries.get(peer.address());
      entries.put(peer.address(), new Entry(peer, nowNanos, told(before)));
    }
  }

  /** A node said that it has heard a relay. */
  void onTold(PeerInfo relay, long nowNanos) {
    if (!isSelf(relay)) {
      Entry before = entries.get(relay.address());
      Long heard = before == null ? null : before.heardNanos;
      entries.put(relay.address(), new Entry(relay, heard, nowNanos));
    }
  }

  /** A relay has said nothing for too long. */
  void avoid(NetworkAddress relay, long nowNanos) {
    avoidedUntil.put(relay, nowNanos + AVOIDED_NANOS);
  }

  private static Long told(Entry before) {
    return before == null ? null : before.toldNanos;
  }

  private boolean isSelf(PeerInfo peer) {
    return peer.address().equals(self.address());
  }

  /** Whether a node was heard lately. */
  boolean heardLately(NetworkAddress peer, long nowNanos) {
    Entry entry = entries.get(peer);
    return entry != null && within(entry.heardNanos, LIFETIME_NANOS, nowNanos);
  }

  /** Nodes heard or told of lately that are not avoided, this one not among them. */
  List<PeerInfo> known(long nowNanos) {
    avoidedUntil.values().removeIf(until -> nowNanos - until >= 0);
    List<PeerInfo> known = new ArrayList<>();
    for (Entry entry : entries.values()) {
      boolean lately =
          within(entry.heardNanos, LIFETIME_NANOS, nowNanos)
              || within(entry.toldNanos, LIFETIME_NANOS, nowNanos);
      if (lately && !avoidedUntil.containsKey(entry.info.address())) {
        known.add(entry.info);
      }
    }
    return known;
  }

  /** Whether any node was heard lately. */
  boolean anyHeard(long nowNanos) {
    return entries.values().stream()
        .anyMatch(entry -> within(entry.heardNanos, LIFETIME_NANOS, nowNanos));
  }

  /** Nodes heard directly and lately. */
  List<NetworkAddress> heard(long nowNanos) {
    return entries.values().stream()
        .filter(entry -> within(entry.heardNanos, LIFETIME_NANOS, nowNanos))
        .map(entry -> entry.info.address())
        .sorted()
        .toList();
  }

  /** The next in turn of the given addresses and of nodes that fell silent. */
  Optional<NetworkAddress> nextToGreet(Collection<NetworkAddress> seeds, long nowNanos) {
    entries
        .values()
        .removeIf(
            entry ->
                !within(entry.heardNanos, REMEMBERED_NANOS, nowNanos)
                    && !within(entry.toldNanos, LIFETIME_NANOS, nowNanos));
    List<NetworkAddress> candidates = new ArrayList<>(seeds);
    entries.keySet().stream().filter(peer -> !candidates.contains(peer)).forEach(candidates::add);
    candidates.removeIf(peer -> heardLately(peer, nowNanos));
    candidates.sort(null);
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(Math.floorMod(turn++, candidates.size())));
  }

  private static boolean within(Long atNanos, long lifetimeNanos, long nowNanos) {
    return atNanos != null && nowNanos - atNanos < lifetimeNanos;
  }
}
