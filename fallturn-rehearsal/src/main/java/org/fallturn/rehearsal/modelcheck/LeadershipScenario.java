package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.Optional;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.LeaseParameters;

/**
 * Leases, witnesses, fences and orders of a few nodes and pools, while processes are killed, paused
 * and cut off, engines crash, and the table is down or loses answers.
 */
public final class LeadershipScenario implements Scenario {

  static final String NAME = "leadership";

  private static final Duration LENGTH = Duration.ofSeconds(70);
  private static final Duration MAX_BETWEEN_FAULTS = Duration.ofSeconds(4);
  private static final Duration SHORT_FAULT = Duration.ofMillis(300);
  private static final Duration LONG_FAULT = Duration.ofSeconds(25);
  private static final Duration LONG_OUTAGE = Duration.ofSeconds(45);
  private static final int MIN_NODES = 4;
  private static final int MAX_NODES = 6;
  private static final int FIRST_PORT = 7001;

  private static final LeaseParameters PARAMETERS =
      new LeaseParameters(
          Duration.ofSeconds(6),
          Duration.ofSeconds(2),
          Duration.ofMillis(500),
          Duration.ofMillis(500),
          Duration.ofSeconds(1),
          Duration.ofMillis(250),
          3,
          5,
          3,
          Duration.ofSeconds(30));

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void play(Simulation simulation, Optional<BrokenVariant> variant, Coverage coverage) {
    LeadershipWorld world = new LeadershipWorld(simulation, variant, coverage, PARAMETERS);
    new Run(simulation, world).run();
  }

  /** One run: sets the world up and plays the faults. */
  private static final class Run {
    private final Simulation simulation;
    private final LeadershipWorld world;
    private int nextNode = 1;

    Run(Simulation simulation, LeadershipWorld world) {
      this.simulation = simulation;
      this.world = world;
    }

    void run() {
      int pools = simulation.random().nextInt(1, 3);
      for (int number = 1; number <= pools; number++) {
        world.addPool(number, 2);
      }
      int nodes = simulation.random().nextInt(MIN_NODES, MAX_NODES + 1);
      for (int index = 0; index < nodes; index++) {
        int port = FIRST_PORT + index;
        addNode(new NodeId("node-" + nextNode++), new NetworkAddress("127.0.0.1", port));
      }
      simulation.checkAfterEachEvent(world::checkOneLeader);
      scheduleFault();
      simulation.run(LENGTH);
    }

    private void addNode(NodeId id, NetworkAddress address) {
      LeadershipNode node = new LeadershipNode(world, id, address);
      world.add(node);
      node.start();
    }

    private void scheduleFault() {
      simulation.after(
          simulation.between(SHORT_FAULT, MAX_BETWEEN_FAULTS),
          () -> {
            fault();
            scheduleFault();
          });
    }

    private void fault() {
      if (world.nodes().isEmpty()) {
        simulation.trace(() -> "every node is down and awaits its replacement");
        return;
      }
      LeadershipNode node = anyNode();
      switch (simulation.random().nextInt(10)) {
        case 0 -> killAndReplace(node);
        case 1 -> node.pause(simulation.between(SHORT_FAULT, LONG_FAULT));
        case 2 -> tableDown();
        case 3 -> cutFromTable(node);
        case 4 -> cut(node.name(), anyNode().name());
        case 5 -> cut(node.name(), anyEngine().id().value());
        case 6 -> anyEngine().restart();
        case 7 -> leaveAndReplace(node);
        case 8 -> tableForOneOnly(node);
        case 9 -> slowOrdersThenHandOver(node);
        default -> throw new IllegalStateException("no such fault");
      }
    }

    private LeadershipNode anyNode() {
      return world.nodes().get(simulation.random().nextInt(world.nodes().size()));
    }

    private SimulatedEngine anyEngine() {
      PoolId pool = world.pools().get(simulation.random().nextInt(world.pools().size()));
      return world.engines(pool).get(simulation.random().nextInt(2));
    }

    private void killAndReplace(LeadershipNode node) {
      world.kill(node);
      boolean sameName = world.isBroken(BrokenVariant.WITNESS_FORGETS_PROMISES);
      NodeId replacement = sameName ? node.id() : new NodeId("node-" + nextNode++);
      simulation.after(
          simulation.between(Duration.ofMillis(100), Duration.ofSeconds(5)),
          () -> addNode(replacement, node.address()));
    }

    private void leaveAndReplace(LeadershipNode node) {
      if (node.isLeaving()) {
        return;
      }
      node.inProcess(node::leave);
      simulation.after(
          simulation.between(Duration.ofSeconds(2), Duration.ofSeconds(10)),
          () -> {
            if (node.isAlive()) {
              killAndReplace(node);
            }
          });
    }

    private void tableDown() {
      simulation.trace(() -> "the table goes down");
      world.table().down(true);
      simulation.after(
          simulation.between(SHORT_FAULT, LONG_OUTAGE),
          () -> {
            simulation.trace(() -> "the table is back");
            world.table().down(false);
          });
    }

    /** The nastiest moment for an order: it arrives after its sender has handed over. */
    private void slowOrdersThenHandOver(LeadershipNode node) {
      SimulatedEngine engine = anyEngine();
      simulation.trace(() -> "messages from " + node.id() + " to " + engine.id() + " are slow");
      simulation.slow(node.name(), engine.id().value());
      simulation.after(
          simulation.between(SHORT_FAULT, Duration.ofSeconds(3)), () -> leaveAndReplace(node));
      simulation.after(
          simulation.between(Duration.ofSeconds(3), Duration.ofSeconds(8)), engine::restart);
      simulation.after(
          LONG_FAULT.toNanos(), () -> simulation.speedUp(node.name(), engine.id().value()));
    }

    private void cutFromTable(LeadershipNode node) {
      boolean requests = simulation.chance(0.7);
      boolean answers = !requests || simulation.chance(0.5);
      long length = simulation.between(SHORT_FAULT, LONG_FAULT);
      simulation.trace(() -> node.id() + " is cut from the table");
      if (requests) {
        cutOneWay(node.name(), SimulatedTable.NAME, length);
      }
      if (answers) {
        cutOneWay(SimulatedTable.NAME, node.name(), length);
      }
    }

    private void tableForOneOnly(LeadershipNode lucky) {
      long length = simulation.between(LONG_FAULT, LONG_OUTAGE);
      simulation.trace(() -> "only " + lucky.id() + " reaches the table");
      for (LeadershipNode node : world.nodes()) {
        if (node != lucky) {
          cutOneWay(node.name(), SimulatedTable.NAME, length);
        }
      }
      if (simulation.chance(0.7)) {
        long late = simulation.between(SHORT_FAULT, Duration.ofSeconds(15));
        cutOneWay(lucky.name(), SimulatedTable.NAME, late);
      }
    }

    private void cut(String left, String right) {
      simulation.trace(() -> left + " and " + right + " are cut");
      long length = simulation.between(SHORT_FAULT, LONG_FAULT);
      cutOneWay(left, right, length);
      if (simulation.chance(0.6)) {
        cutOneWay(right, left, length);
      }
    }

    private void cutOneWay(String from, String to, long length) {
      simulation.cut(from, to);
      simulation.after(length, () -> simulation.heal(from, to));
    }
  }
}
