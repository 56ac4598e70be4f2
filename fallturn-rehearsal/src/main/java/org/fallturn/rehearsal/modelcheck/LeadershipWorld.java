package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.lease.LeaseParameters;
import org.fallturn.core.lease.LeaseRecord;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;

/**
 * What the nodes of {@link LeadershipScenario} share: the table, the engines, what they see of each
 * other, and the checks of the invariants.
 */
final class LeadershipWorld {

  static final RegionName REGION = new RegionName("region");
  static final ZoneName ZONE = new ZoneName("zone");
  private static final Duration LIST_LAG = Duration.ofSeconds(4);
  private static final double UNSEEN_SHARE = 0.05;

  private final Simulation simulation;
  private final Optional<BrokenVariant> variant;
  private final Coverage coverage;
  private final LeaseParameters parameters;
  private final SimulatedTable<PoolId, LeaseRecord> table;
  private final Map<PoolId, List<SimulatedEngine>> engines = new HashMap<>();
  private final List<LeadershipNode> nodes = new ArrayList<>();
  private final Map<NodeId, Long> diedNanos = new HashMap<>();
  private final Map<String, NodeId> leaderOfEpoch = new HashMap<>();
  private long listVersion;

  LeadershipWorld(
      Simulation simulation,
      Optional<BrokenVariant> variant,
      Coverage coverage,
      LeaseParameters parameters) {
    this.simulation = simulation;
    this.variant = variant;
    this.coverage = coverage;
    this.parameters = parameters;
    this.table = new SimulatedTable<>(simulation);
  }

  Simulation simulation() {
    return simulation;
  }

  boolean isBroken(BrokenVariant broken) {
    return variant.filter(broken::equals).isPresent();
  }

  Coverage coverage() {
    return coverage;
  }

  LeaseParameters parameters() {
    return parameters;
  }

  SimulatedTable<PoolId, LeaseRecord> table() {
    return table;
  }

  List<PoolId> pools() {
    return engines.keySet().stream().sorted().toList();
  }

  List<SimulatedEngine> engines(PoolId pool) {
    return engines.get(pool);
  }

  Optional<SimulatedEngine> engine(PoolId pool, EngineId id) {
    return engines.get(pool).stream().filter(engine -> engine.id().equals(id)).findFirst();
  }

  List<LeadershipNode> nodes() {
    return nodes;
  }

  /** The process that listens at an address now. */
  Optional<LeadershipNode> nodeAt(NetworkAddress address) {
    return nodes.stream()
        .filter(node -> node.isAlive() && node.address().equals(address))
        .findFirst();
  }

  void addPool(int number, int engineCount) {
    PoolId pool = new PoolId(ZONE, new ModelName("model-" + number), 0);
    List<SimulatedEngine> ofPool = new ArrayList<>();
    boolean checksIncarnation = !isBroken(BrokenVariant.ENGINE_INCARNATION_IGNORED);
    for (int index = 0; index < engineCount; index++) {
      EngineId id = new EngineId("engine-" + number + "-" + index);
      ofPool.add(new SimulatedEngine(simulation, id, checksIncarnation));
    }
    engines.put(pool, ofPool);
  }

  void add(LeadershipNode node) {
    listVersion++;
    nodes.add(node);
  }

  void kill(LeadershipNode node) {
    listVersion++;
    diedNanos.put(node.id(), simulation.now());
    node.kill();
    nodes.remove(node);
  }

  /** Members as a node may see them: now and then one is missing. */
  MembershipView viewOf(LeadershipNode observer) {
    Map<NodeId, Member> members = new HashMap<>();
    for (LeadershipNode node : nodes) {
      boolean unseen = node != observer && simulation.chance(UNSEEN_SHARE);
      if (!unseen && !simulation.isCut(node.name(), observer.name())) {
        members.put(node.id(), member(node));
      }
    }
    return new MembershipView(observer.id(), members);
  }

  private static Member member(LeadershipNode node) {
    Member.State state = node.isLeaving() ? Member.State.LEAVING : Member.State.ALIVE;
    return new Member(node.id(), REGION, ZONE, node.address(), node.address(), 0, state, 0);
  }

  /** The platform's list: the dead stay on it for a while. */
  MachineList machines() {
    List<Machine> machines = new ArrayList<>();
    nodes.forEach(node -> machines.add(machine(node.id())));
    diedNanos.forEach(
        (node, died) -> {
          if (simulation.now() - died < LIST_LAG.toNanos()) {
            machines.add(machine(node));
          }
        });
    return new MachineList(listVersion, machines);
  }

  private static Machine machine(NodeId node) {
    return new Machine(
        node.value(),
        Machine.Kind.NODE,
        REGION,
        ZONE,
        new NetworkAddress("127.0.0.1", 1),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Machine.State.LIVE);
  }

  // Checks.

  /** Called after every event. */
  void checkOneLeader() {
    for (PoolId pool : engines.keySet()) {
      LeadershipNode first = null;
      for (LeadershipNode node : nodes) {
        if (!node.mayOrder(pool)) {
          continue;
        }
        if (first != null) {
          throw new InvariantViolatedException(
              Invariant.ONE_LEADER,
              first.describeAuthority(pool)
                  + " and "
                  + node.describeAuthority(pool)
                  + " may both order "
                  + pool);
        }
        first = node;
      }
    }
  }

  void onBegin(LeadershipNode node, PoolId pool, Epoch epoch) {
    coverage.count("leaderships");
    NodeId other = leaderOfEpoch.putIfAbsent(pool + "@" + epoch.value(), node.id());
    if (other != null && !other.equals(node.id())) {
      throw new InvariantViolatedException(
          Invariant.EPOCH_UNIQUE,
          other + " and " + node.id() + " both lead " + pool + " at " + epoch);
    }
  }

  /** Called at the moment an order leaves a node. */
  void checkSend(LeadershipNode node, PoolId pool, EngineOrder order) {
    LeaseRecord lease = table.row(pool).value();
    boolean named =
        lease != null
            && lease.holder().filter(node.id()::equals).isPresent()
            && lease.epoch().equals(order.number().epoch());
    if (!named) {
      throw new InvariantViolatedException(
          Invariant.ORDER_NEEDS_LEASE,
          node.id() + " sends " + order.number() + " while the row of " + pool + " is " + lease);
    }
    coverage.count("orders");
    if (node.isExtended(pool)) {
      coverage.count("orders-by-witnesses");
    }
  }
}
