package org.fallturn.core.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.WatchOrder;
import org.fallturn.core.membership.RendezvousHash;

/**
 * Which nodes relay: the strongest of each zone, and none that is weak beside the strongest of all.
 * Whoever knows the same nodes ranks them alike; who knows others may take itself for a relay,
 * which costs messages and nothing else. Thread-safe.
 */
final class RelayRanking {

  /**
   * Relays of a fleet at least, so that a fleet of up to so many nodes needs none in between: the
   * number of peers that a node told each turn before there were relays. Others were not tried.
   */
  private static final int LEAST_RELAYS = 12;

  /** A relay can carry at least this part of what the strongest node can. */
  private static final double LEAST_CAPACITY_PART = 0.5;

  /**
   * Of each zone, nodes beside the relays that all are told of, so that all choose the same next.
   */
  private static final int SPARE = 2;

  /** Nodes that are asked for rows: one may be cut off while another restarts. */
  private static final int ROW_TELLERS = 3;

  private static final String WATCH = "watch";

  private static final Comparator<PeerInfo> STRONGEST_FIRST =
      (left, right) -> left.equals(right) ? 0 : left.ranksBefore(right) ? -1 : 1;

  private final PeerInfo self;
  private final List<PeerInfo> relays;
  private final List<PeerInfo> candidates;
  private final List<PeerInfo> watchers;

  /** Nodes ask at each turn, and the order changes only with the ranking. */
  private final Map<String, List<PeerInfo>> byPurpose = new ConcurrentHashMap<>();

  /**
   * Ranks the nodes that are known.
   *
   * @param known the other nodes
   * @param nodeCount how many nodes there are, known or not
   */
  RelayRanking(PeerInfo self, List<PeerInfo> known, int nodeCount) {
    this.self = self;
    List<PeerInfo> all = new ArrayList<>(known);
    all.add(self);
    all.sort(STRONGEST_FIRST);
    double least = LEAST_CAPACITY_PART * all.get(0).capacity();
    List<PeerInfo> strong = all.stream().filter(peer -> peer.capacity() >= least).toList();
    int quota = relaysAZone(strong, nodeCount);
    relays = strongestOfEachZone(strong, quota);
    candidates = strongestOfEachZone(strong, quota + SPARE);
    watchers = relaysFor(WATCH);
  }

  private static List<PeerInfo> strongestOfEachZone(List<PeerInfo> strongestFirst, int count) {
    List<PeerInfo> chosen = new ArrayList<>();
    for (PeerInfo peer : strongestFirst) {
      long before = chosen.stream().filter(relay -> relay.zone().equals(peer.zone())).count();
      if (before < count) {
        chosen.add(peer);
      }
    }
    return List.copyOf(chosen);
  }

  /** Relays tell each other and those that report to them: the sum is least at the square root. */
  private static int relaysAZone(List<PeerInfo> strong, int nodeCount) {
    double wanted = Math.max(LEAST_RELAYS, Math.sqrt(nodeCount));
    long zones = strong.stream().map(PeerInfo::zone).distinct().count();
    return (int) Math.ceil(wanted / zones);
  }

  /** The relays, this node perhaps among them. */
  List<PeerInfo> relays() {
    return relays;
  }

  /** The relays in an order that all nodes give them alike, another for each purpose. */
  List<PeerInfo> relaysFor(String purpose) {
    return byPurpose.computeIfAbsent(purpose, this::inOrder);
  }

  private List<PeerInfo> inOrder(String purpose) {
    Comparator<PeerInfo> byWeight =
        Comparator.comparing(
            (PeerInfo relay) -> RendezvousHash.weight(purpose, relay.address().toString()),
            Long::compareUnsigned);
    return relays.stream().sorted(byWeight).toList();
  }

  /**
   * This node's place among those that watch the store: the relays in an order of its own, so that
   * the strongest need not do everything, and then all others.
   *
   * @param relay the relay that this node reports to
   * @param nodes how many nodes there are
   */
  WatchOrder watchOrder(Optional<PeerInfo> relay, int nodes) {
    int own = watchers.indexOf(self);
    int rank = own < 0 ? watchers.size() : own;
    return new WatchOrder(rank, nodes, false, true, rowTellers(relay));
  }

  /**
   * Its relay twice, which is near and tells of a change before it has the rows; then those that
   * watch, which have them first.
   */
  private List<NetworkAddress> rowTellers(Optional<PeerInfo> relay) {
    List<NetworkAddress> tellers = new ArrayList<>();
    relay.ifPresent(nearest -> tellers.addAll(List.of(nearest.address(), nearest.address())));
    watchers.stream()
        .filter(peer -> !peer.equals(self))
        .limit(ROW_TELLERS)
        .forEach(peer -> tellers.add(peer.address()));
    return tellers;
  }

  /** The relays, and those who take their places when they are lost. */
  List<PeerInfo> candidates() {
    return candidates;
  }

  /** Whether this node is one. */
  boolean isRelay() {
    return relays.contains(self);
  }

  /**
   * The relay that this node reports to when it does not relay itself; empty when there is none.
   * Only one that ranks before it, so that reports never go round in a circle.
   */
  Optional<PeerInfo> relayOfThisNode() {
    Comparator<PeerInfo> nearFirst =
        Comparator.comparing((PeerInfo relay) -> !relay.zone().equals(self.zone()));
    return relays.stream()
        .filter(relay -> relay.ranksBefore(self))
        .min(nearFirst.thenComparing(this::weight, Comparator.reverseOrder()));
  }

  private long weight(PeerInfo relay) {
    return RendezvousHash.weight(self.address().toString(), relay.address().toString());
  }
}
