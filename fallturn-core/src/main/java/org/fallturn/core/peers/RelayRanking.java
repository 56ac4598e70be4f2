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
 * Selects the relays among the known nodes: the strongest of each zone, except nodes that are weak
 * compared with the strongest of all. Nodes that know the same nodes select the same relays. A node
 * that knows different ones may consider itself a relay; this costs messages and does no other
 * harm. Thread-safe.
 */
final class RelayRanking {

  /**
   * The least number of relays of a fleet, so that in a fleet of up to this many nodes each sends
   * to all others directly. 12 is the number of peers to which each node sent its load per round
   * before there were relays.
   */
  private static final int MIN_RELAYS = 12;

  /** The least capacity of a relay, relative to that of the strongest node. */
  private static final double MIN_CAPACITY_FRACTION = 0.5;

  /**
   * The number of further nodes of each zone that all nodes are told of, so that all select the
   * same next relay.
   */
  private static final int SPARES_PER_ZONE = 2;

  /** The number of nodes that are asked for rows: one may be cut off while another restarts. */
  private static final int ROW_SOURCES = 3;

  private static final String WATCH_PURPOSE = "watch";

  private static final Comparator<PeerInfo> STRONGEST_FIRST =
      (left, right) -> left.equals(right) ? 0 : left.ranksBefore(right) ? -1 : 1;

  private final PeerInfo self;
  private final List<PeerInfo> relays;
  private final List<PeerInfo> candidates;
  private final List<PeerInfo> watchers;

  /**
   * Cache of the orders: nodes ask for them in each round, and they change only with the ranking.
   */
  private final Map<String, List<PeerInfo>> byPurpose = new ConcurrentHashMap<>();

  /**
   * Ranks the known nodes.
   *
   * @param self this node
   * @param known the other nodes
   * @param nodeCount the number of nodes, known or not
   */
  RelayRanking(PeerInfo self, List<PeerInfo> known, int nodeCount) {
    this.self = self;
    List<PeerInfo> all = new ArrayList<>(known);
    all.add(self);
    all.sort(STRONGEST_FIRST);
    double minCapacity = MIN_CAPACITY_FRACTION * all.get(0).capacity();
    List<PeerInfo> strong = all.stream().filter(peer -> peer.capacity() >= minCapacity).toList();
    int perZone = relaysPerZone(strong, nodeCount);
    relays = strongestOfEachZone(strong, perZone);
    candidates = strongestOfEachZone(strong, perZone + SPARES_PER_ZONE);
    watchers = relaysFor(WATCH_PURPOSE);
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

  /**
   * The number of relays per zone. Relays send messages to each other and to their members; the sum
   * is least when the number of relays is the square root of the number of nodes.
   */
  private static int relaysPerZone(List<PeerInfo> strong, int nodeCount) {
    double wanted = Math.max(MIN_RELAYS, Math.sqrt(nodeCount));
    long zones = strong.stream().map(PeerInfo::zone).distinct().count();
    return (int) Math.ceil(wanted / zones);
  }

  /** The relays, possibly including this node. */
  List<PeerInfo> relays() {
    return relays;
  }

  /** The relays in an order that depends on the purpose and is the same at all nodes. */
  List<PeerInfo> relaysFor(String purpose) {
    return byPurpose.computeIfAbsent(purpose, this::sortForPurpose);
  }

  private List<PeerInfo> sortForPurpose(String purpose) {
    Comparator<PeerInfo> byWeight =
        Comparator.comparing(
            (PeerInfo relay) -> RendezvousHash.weight(purpose, relay.address().toString()),
            Long::compareUnsigned);
    return relays.stream().sorted(byWeight).toList();
  }

  /**
   * This node's position among the nodes that watch the store: first the relays, in an order of its
   * own, so that the strongest need not do everything, then all other nodes.
   *
   * @param relay the relay that this node reports to
   * @param nodes the number of nodes
   */
  WatchOrder watchOrder(Optional<PeerInfo> relay, int nodes) {
    int own = watchers.indexOf(self);
    int rank = own < 0 ? watchers.size() : own;
    return new WatchOrder(rank, nodes, false, true, rowSources(relay));
  }

  /**
   * The nodes to ask for rows: first this node's relay, which is near, and the relay a second time,
   * since it reports a change before it has the rows itself; then the nodes that watch the store,
   * which have the rows first.
   */
  private List<NetworkAddress> rowSources(Optional<PeerInfo> relay) {
    List<NetworkAddress> sources = new ArrayList<>();
    relay.ifPresent(nearest -> sources.addAll(List.of(nearest.address(), nearest.address())));
    watchers.stream()
        .filter(peer -> !peer.equals(self))
        .limit(ROW_SOURCES)
        .forEach(peer -> sources.add(peer.address()));
    return sources;
  }

  /** The relays, and the nodes that replace them when they are lost. */
  List<PeerInfo> candidates() {
    return candidates;
  }

  /** Returns whether this node is a relay. */
  boolean isRelay() {
    return relays.contains(self);
  }

  /**
   * The relay that this node reports to if it is not a relay itself; empty when there is none. The
   * relay always ranks before this node, so that reports never go round in a circle.
   */
  Optional<PeerInfo> relayOfThisNode() {
    Comparator<PeerInfo> sameZoneFirst =
        Comparator.comparing((PeerInfo relay) -> !relay.zone().equals(self.zone()));
    return relays.stream()
        .filter(relay -> relay.ranksBefore(self))
        .min(sameZoneFirst.thenComparing(this::weight, Comparator.reverseOrder()));
  }

  private long weight(PeerInfo relay) {
    return RendezvousHash.weight(self.address().toString(), relay.address().toString());
  }
}
