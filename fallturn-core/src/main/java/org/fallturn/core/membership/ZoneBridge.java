package org.fallturn.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;

/**
 * The link of a zone to the others. A few members of each zone, chosen by rendezvous hash, contact
 * one other zone each period in turn, so that the cost of a node does not depend on how many nodes
 * there are. Not thread-safe.
 */
final class ZoneBridge {

  private static final int SYNC_EVERY = 5;

  private final GossipParameters settings;
  private final MemberTable table;
  private final MessageWriter writer;
  private final ZoneDigests zones;
  private final Random random;
  private final Map<ZoneName, String> syncPositions = new TreeMap<>();
  private long nextContactNanos;
  private long contacts;
  private long checkedModifications = -1;
  private boolean bridge;

  ZoneBridge(
      GossipParameters settings,
      MemberTable table,
      MessageWriter writer,
      ZoneDigests zones,
      Random random,
      long nowNanos) {
    this.settings = settings;
    this.table = table;
    this.writer = writer;
    this.zones = zones;
    this.random = random;
    this.nextContactNanos = nowNanos + random.nextLong(settings.bridgePeriod().toNanos());
  }

  /** Whether this node is a bridge of its zone as it sees the zone. */
  boolean isBridge() {
    if (checkedModifications != table.modifications()) {
      checkedModifications = table.modifications();
      List<Member> members = new ArrayList<>(table.others(table.self().zone()));
      members.add(table.self());
      bridge = bridges(table.self().zone(), members).contains(table.self().node());
    }
    return bridge;
  }

  /** Contacts the next zone when it is time. */
  void tick(long nowNanos, Collection<GossipSeed> seeds) {
    if (nowNanos - nextContactNanos < 0) {
      return;
    }
    nextContactNanos = nowNanos + settings.bridgePeriod().toNanos();
    if (!isBridge()) {
      return;
    }
    List<ZoneName> others = otherZones(seeds);
    if (others.isEmpty()) {
      return;
    }
    contacts++;
    ZoneName zone = others.get((int) (contacts % others.size()));
    contact(zone, nowNanos, seeds);
  }

  /** A page of another zone's table came; the next request goes on from there. */
  void onPage(ZoneName zone, String last) {
    syncPositions.put(zone, last);
  }

  private void contact(ZoneName zone, long nowNanos, Collection<GossipSeed> seeds) {
    boolean sync = contacts / Math.max(1, otherZones(seeds).size()) % SYNC_EVERY == 0;
    Optional<Member> member = chooseMember(zone, nowNanos);
    if (member.isEmpty()) {
      contactSeed(zone, seeds);
      return;
    }
    writer.queue(zone).put(zones.write(), BroadcastQueue.Priority.URGENT, 1);
    GossipBody body =
        sync
            ? new GossipBody.SyncRequest(syncPositions.getOrDefault(zone, ""))
            : new GossipBody.Ping(0);
    writer.send(member.get().node(), member.get().gossipAddress(), zone, body);
  }

  private Optional<Member> chooseMember(ZoneName zone, long nowNanos) {
    List<Member> members = table.others(zone);
    if (members.isEmpty()) {
      return Optional.empty();
    }
    long patience = settings.zoneSilence().toNanos() / 2;
    if (zones.isSilent(zone, nowNanos, patience)) {
      return Optional.of(members.get(random.nextInt(members.size())));
    }
    List<NodeId> bridges = bridges(zone, members);
    if (bridges.isEmpty()) {
      return Optional.of(members.get(random.nextInt(members.size())));
    }
    return table.get(bridges.get(random.nextInt(bridges.size())));
  }

  private void contactSeed(ZoneName zone, Collection<GossipSeed> seeds) {
    List<GossipSeed> ofZone = seeds.stream().filter(seed -> seed.zone().equals(zone)).toList();
    if (!ofZone.isEmpty()) {
      GossipSeed seed = ofZone.get(random.nextInt(ofZone.size()));
      writer.introduce(seed.node(), seed.gossipAddress(), new GossipBody.SyncRequest(""));
    }
  }

  private List<ZoneName> otherZones(Collection<GossipSeed> seeds) {
    List<ZoneName> others = new ArrayList<>(table.zones());
    seeds.stream()
        .map(GossipSeed::zone)
        .filter(zone -> !others.contains(zone))
        .forEach(others::add);
    others.remove(table.self().zone());
    others.sort(null);
    return others.stream().distinct().toList();
  }

  private List<NodeId> bridges(ZoneName zone, List<Member> members) {
    List<NodeId> alive =
        members.stream()
            .filter(member -> member.state() == Member.State.ALIVE)
            .map(Member::node)
            .toList();
    return RendezvousHash.top("bridge/" + zone, alive, settings.bridgesPerZone());
  }
}
