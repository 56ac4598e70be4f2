package org.fallturn.node.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.fallturn.core.configuration.HeadWatchers;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;

/**
 * The other nodes as the configuration needs them, from the membership view and the machine list.
 * Thread-safe.
 */
public final class ZoneNodes {

  private final LocalNode self;
  private final Supplier<MembershipView> view;
  private final Supplier<MachineList> machines;

  /** Nodes as this node sees them; either supplier may return null before it knows anything. */
  public ZoneNodes(LocalNode self, Supplier<MembershipView> view, Supplier<MachineList> machines) {
    this.self = self;
    this.view = view;
    this.machines = machines;
  }

  /** The node itself. */
  public LocalNode self() {
    return self;
  }

  /** Members of the own zone that are not dead, the node itself left out. */
  public Map<NodeId, Member> othersInZone() {
    Map<NodeId, Member> others = new LinkedHashMap<>();
    for (Member member : members()) {
      if (member.zone().equals(self.zone())) {
        others.put(member.node(), member);
      }
    }
    return others;
  }

  /**
   * Live nodes of the own zone that the machine list names and gossip does not: just started, just
   * gone, or cut off. Peer addresses by id.
   */
  public Map<String, NetworkAddress> listedStrangersInZone() {
    Set<NodeId> known = zone();
    Map<String, NetworkAddress> strangers = new TreeMap<>();
    for (Machine machine : listedNodes()) {
      boolean live = machine.state() == Machine.State.LIVE;
      if (live && machine.zone().equals(self.zone()) && !known.contains(new NodeId(machine.id()))) {
        strangers.put(machine.id(), machine.address());
      }
    }
    return strangers;
  }

  /** Ids of the own zone's nodes that are not dead, the node itself included. */
  public Set<NodeId> zone() {
    Set<NodeId> nodes = new LinkedHashSet<>(othersInZone().keySet());
    nodes.add(self.node());
    return nodes;
  }

  /** Whether this node is one of the zone's watchers. */
  public boolean isWatcher() {
    return HeadWatchers.of(zone()).contains(self.node());
  }

  /** Members that say they have a newer version than the given one, those of the zone first. */
  public List<Member> membersAhead(long version) {
    List<Member> ahead = new ArrayList<>();
    for (Member member : members()) {
      if (member.configurationVersion() > version) {
        ahead.add(member);
      }
    }
    Collections.shuffle(ahead, ThreadLocalRandom.current());
    ahead.sort((left, right) -> Boolean.compare(isNear(right), isNear(left)));
    return ahead;
  }

  /** Peer addresses of any other nodes, in random order. */
  public List<NetworkAddress> anyOthers() {
    Set<NetworkAddress> addresses = new LinkedHashSet<>();
    members().forEach(member -> addresses.add(member.peerAddress()));
    listedNodes().forEach(machine -> addresses.add(machine.address()));
    addresses.remove(self.peerAddress());
    List<NetworkAddress> shuffled = new ArrayList<>(addresses);
    Collections.shuffle(shuffled, ThreadLocalRandom.current());
    return shuffled;
  }

  /** Peer addresses of nodes in each other zone, members before those only listed. */
  public Map<ZoneName, List<NetworkAddress>> otherZones() {
    Map<ZoneName, Set<NetworkAddress>> zones = new TreeMap<>();
    for (Member member : members()) {
      zones.computeIfAbsent(member.zone(), zone -> new LinkedHashSet<>()).add(member.peerAddress());
    }
    for (Machine machine : listedNodes()) {
      zones.computeIfAbsent(machine.zone(), zone -> new LinkedHashSet<>()).add(machine.address());
    }
    zones.remove(self.zone());
    Map<ZoneName, List<NetworkAddress>> lists = new TreeMap<>();
    zones.forEach((zone, addresses) -> lists.put(zone, List.copyOf(addresses)));
    return lists;
  }

  private boolean isNear(Member member) {
    return member.zone().equals(self.zone());
  }

  private List<Member> members() {
    MembershipView current = view.get();
    if (current == null) {
      return List.of();
    }
    return current.members().values().stream()
        .filter(member -> member.state() != Member.State.DEAD)
        .filter(member -> !member.node().equals(self.node()))
        .toList();
  }

  private List<Machine> listedNodes() {
    MachineList list = machines.get();
    if (list == null) {
      return List.of();
    }
    return list.machines().stream()
        .filter(machine -> machine.kind() == Machine.Kind.NODE)
        .filter(machine -> !machine.id().equals(self.node().value()))
        .toList();
  }
}
