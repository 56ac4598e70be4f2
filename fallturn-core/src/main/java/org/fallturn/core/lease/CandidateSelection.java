package org.fallturn.core.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.membership.RendezvousHash;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;

/**
 * Chooses the candidates and the witnesses of each pool's lease. A pool's candidates are the first
 * few living nodes of its zone in rendezvous order; of its region when the zone has none. Witnesses
 * come from the zone too, and from the region when the zone has too few. Pure and stateless.
 */
public final class CandidateSelection {

  private static final String LEADER_DUTY = "lease/";
  private static final String WITNESS_DUTY = "lease-witness/";

  private static final int NO_RANK = -1;

  private final LeaseParameters parameters;

  /** A selection by the given counts. */
  public CandidateSelection(LeaseParameters parameters) {
    this.parameters = parameters;
  }

  /** What this node derives for each pool of its region. */
  public Map<PoolId, PoolCandidates> select(
      MembershipView view, MachineList machines, List<PoolId> pools) {
    Map<PoolId, PoolCandidates> candidates = new HashMap<>();
    Member self = view.member(view.self()).orElse(null);
    if (self == null) {
      return candidates;
    }
    List<Member> region = liveIn(view, self);
    Set<NodeId> healthy = ids(region);
    Set<NodeId> listed = listedNodes(machines);
    for (PoolId pool : pools) {
      List<Member> zone =
          region.stream().filter(member -> member.zone().equals(pool.zone())).toList();
      List<Member> eligible = zone.isEmpty() ? region : zone;
      long poolsOfZone = pools.stream().filter(other -> other.zone().equals(pool.zone())).count();
      int fairShare = Math.toIntExact(divideUp(poolsOfZone, Math.max(1, eligible.size())));
      boolean isEligible = eligible.contains(self);
      int rank = isEligible ? rank(pool, view.self(), eligible) : NO_RANK;
      List<LeaseWitness> witnesses =
          isEligible ? witnesses(pool, view.self(), zone, region, listed) : List.of();
      candidates.put(
          pool,
          new PoolCandidates(rank, fairShare, healthy, witnesses, listed, machines.version()));
    }
    return candidates;
  }

  /** The members that candidates and witnesses are chosen from: the live ones of this region. */
  public static Set<NodeId> healthy(MembershipView view) {
    return view.member(view.self()).map(self -> ids(liveIn(view, self))).orElse(Set.of());
  }

  private static List<Member> liveIn(MembershipView view, Member self) {
    return view.members().values().stream()
        .filter(member -> member.region().equals(self.region()))
        .filter(member -> member.state() == Member.State.ALIVE)
        .toList();
  }

  private int rank(PoolId pool, NodeId self, List<Member> eligible) {
    return RendezvousHash.top(LEADER_DUTY + pool, ids(eligible), parameters.watchers())
        .indexOf(self);
  }

  private List<LeaseWitness> witnesses(
      PoolId pool, NodeId self, List<Member> zone, List<Member> region, Set<NodeId> listed) {
    List<Member> choice = others(zone, self, listed);
    if (choice.size() < parameters.witnesses()) {
      choice = others(region, self, listed);
    }
    if (choice.size() < parameters.minWitnesses()) {
      return List.of();
    }
    int count = Math.min(parameters.witnesses(), choice.size());
    int odd = count % 2 == 0 ? count - 1 : count;
    Map<NodeId, Member> byId =
        choice.stream().collect(Collectors.toMap(Member::node, member -> member));
    return RendezvousHash.top(WITNESS_DUTY + pool, byId.keySet(), odd).stream()
        .map(node -> new LeaseWitness(node, byId.get(node).peerAddress()))
        .toList();
  }

  private static List<Member> others(List<Member> members, NodeId self, Set<NodeId> listed) {
    return members.stream()
        .filter(member -> !member.node().equals(self))
        .filter(member -> listed.contains(member.node()))
        .toList();
  }

  private static Set<NodeId> ids(List<Member> members) {
    return members.stream().map(Member::node).collect(Collectors.toSet());
  }

  private static Set<NodeId> listedNodes(MachineList machines) {
    Set<NodeId> listed = new HashSet<>();
    for (Machine machine : machines.machines()) {
      if (machine.kind() == Machine.Kind.NODE) {
        listed.add(new NodeId(machine.id()));
      }
    }
    return listed;
  }

  private static long divideUp(long dividend, long divisor) {
    return (dividend + divisor - 1) / divisor;
  }
}
