package org.fallturn.node.operators;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.placement.PoolDigest;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.core.query.LiveTable;
import org.fallturn.core.query.Selection;
import org.fallturn.node.configuration.ZoneNodes;

/**
 * Which nodes have to be asked for a table: never all, one a zone, the pools' leaders, the owners
 * of quotas.
 */
final class QueryTargets {

  private static final String THIS_NODE = "this node";

  private final ZoneNodes nodes;
  private final Supplier<? extends Iterable<PoolDigest>> digests;
  private final Supplier<MachineList> machines;
  private volatile QuotaOwners quotaOwners;

  QueryTargets(
      ZoneNodes nodes,
      Supplier<? extends Iterable<PoolDigest>> digests,
      Supplier<MachineList> machines) {
    this.nodes = nodes;
    this.digests = digests;
    this.machines = machines;
  }

  /** Adds the way to the owners of quotas, once it is known. */
  void setQuotaOwners(QuotaOwners owners) {
    quotaOwners = owners;
  }

  List<PartTarget> of(LiveTable table, Selection selection) {
    return switch (table.scope()) {
      case EACH_ZONE -> zones();
      case LEADERS -> leaders();
      case QUOTA_OWNERS ->
          quotaOwners.targets(
              nodes.self().node(), selection.where(), table.schema().columns().size());
      default -> List.of(new PartTarget(THIS_NODE, List.of(), true));
    };
  }

  private List<PartTarget> zones() {
    List<PartTarget> targets = new ArrayList<>();
    targets.add(new PartTarget("zone " + nodes.self().zone(), List.of(), true));
    nodes
        .otherZones()
        .forEach((zone, contacts) -> targets.add(new PartTarget("zone " + zone, contacts, false)));
    return targets;
  }

  private List<PartTarget> leaders() {
    Map<NetworkAddress, List<String>> poolsOfLeader = new TreeMap<>();
    Set<String> led = new HashSet<>();
    for (PoolDigest digest : digests.get()) {
      poolsOfLeader
          .computeIfAbsent(digest.leaderAddress(), leader -> new ArrayList<>())
          .add(digest.pool().toString());
      led.add(digest.pool().zone() + "/" + digest.pool().model());
    }
    List<PartTarget> targets = new ArrayList<>();
    poolsOfLeader.forEach(
        (leader, pools) ->
            targets.add(
                new PartTarget(
                    "pools " + String.join(", ", pools),
                    List.of(leader),
                    leader.equals(nodes.self().peerAddress()))));
    for (String pool : poolsWithEngines()) {
      if (!led.contains(pool)) {
        targets.add(new PartTarget("pool " + pool, List.of(), false));
      }
    }
    return targets;
  }

  private Set<String> poolsWithEngines() {
    Set<String> pools = new TreeSet<>();
    MachineList list = machines.get();
    if (list != null) {
      list.machines().stream()
          .filter(machine -> machine.kind() == Machine.Kind.ENGINE && machine.model().isPresent())
          .forEach(machine -> pools.add(machine.zone() + "/" + machine.model().get()));
    }
    return pools;
  }
}
