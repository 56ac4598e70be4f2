package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.error.ErrorKind;

/**
 * Operators race to change the configuration through different nodes, while nodes learn accepted
 * changes late from the table, from peers and from old snapshots.
 */
public final class ConfigurationScenario implements Scenario {

  static final String NAME = "configuration";

  private static final Duration LENGTH = Duration.ofSeconds(40);
  private static final Duration MAX_BETWEEN_FAULTS = Duration.ofSeconds(4);
  private static final Duration SHORT = Duration.ofMillis(200);
  private static final Duration LONG = Duration.ofSeconds(10);
  private static final int NODES = 4;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void play(Simulation simulation, Optional<BrokenVariant> variant, Coverage coverage) {
    new World(simulation, variant, coverage).run();
  }

  /** The table, the nodes, the faults and the checks. */
  static final class World {
    private final Simulation simulation;
    private final Optional<BrokenVariant> variant;
    private final Coverage coverage;
    private final SimulatedTable<String, Object> table;
    private final List<ConfigurationNode> nodes = new ArrayList<>();
    private final Set<String> refusedAttempts = new HashSet<>();
    private final Map<Long, ConfigurationImage> replayed = new HashMap<>();
    private ConfigurationImage snapshot = ConfigurationImage.EMPTY;
    private int nextNode = 1;

    World(Simulation simulation, Optional<BrokenVariant> variant, Coverage coverage) {
      this.simulation = simulation;
      this.variant = variant;
      this.coverage = coverage;
      this.table = new SimulatedTable<>(simulation);
      replayed.put(0L, ConfigurationImage.EMPTY);
    }

    Simulation simulation() {
      return simulation;
    }

    SimulatedTable<String, Object> table() {
      return table;
    }

    boolean isBroken(BrokenVariant broken) {
      return variant.filter(broken::equals).isPresent();
    }

    ConfigurationNode anyNode() {
      return nodes.get(simulation.random().nextInt(nodes.size()));
    }

    ConfigurationImage snapshot() {
      return snapshot;
    }

    void run() {
      for (int index = 0; index < NODES; index++) {
        addNode();
      }
      scheduleFault();
      simulation.run(LENGTH);
      refusedAttempts.forEach(this::checkNeverCommitted);
    }

    private void addNode() {
      ConfigurationNode node = new ConfigurationNode(this, "node-" + nextNode++);
      nodes.add(node);
      node.start();
    }

    private void scheduleFault() {
      simulation.after(
          simulation.between(SHORT, MAX_BETWEEN_FAULTS),
          () -> {
            fault();
            scheduleFault();
          });
    }

    private void fault() {
      ConfigurationNode node = anyNode();
      long length = simulation.between(SHORT, LONG);
      switch (simulation.random().nextInt(5)) {
        case 0 -> replace(node);
        case 1 -> node.pause(length);
        case 2 -> tableDown(length);
        case 3 -> cut(SimulatedTable.NAME, node.name(), length);
        case 4 -> snapshot = node.image();
        default -> throw new IllegalStateException("no such fault");
      }
    }

    private void replace(ConfigurationNode node) {
      node.kill();
      nodes.remove(node);
      addNode();
    }

    private void tableDown(long length) {
      simulation.trace(() -> "the table goes down");
      table.down(true);
      simulation.after(length, () -> table.down(false));
    }

    private void cut(String from, String to, long length) {
      simulation.trace(() -> "no answers from " + from + " reach " + to);
      simulation.cut(from, to);
      simulation.after(length, () -> simulation.heal(from, to));
    }

    // Checks.

    void onAccepted(ConfigurationDelta delta) {
      coverage.count("accepted");
      simulation.trace(() -> "accepted " + delta.version() + " " + delta.attemptId());
      Object row = table.row(ConfigurationNode.changeKey(delta.version())).value();
      if (!delta.equals(row)) {
        throw new InvariantViolatedException(
            Invariant.CONFIGURATION_SEQUENCE,
            "version "
                + delta.version()
                + " was accepted as "
                + delta.attemptId()
                + " but the table has "
                + row);
      }
    }

    void onRefused(String attemptId, ErrorKind kind) {
      simulation.trace(() -> "refused " + attemptId + " " + kind);
      if (kind == ErrorKind.OUTCOME_UNKNOWN) {
        coverage.count("unknown");
        return;
      }
      coverage.count("refused");
      refusedAttempts.add(attemptId);
      checkNeverCommitted(attemptId);
    }

    private void checkNeverCommitted(String attemptId) {
      for (long version = 1; version <= newest(); version++) {
        if (change(version).attemptId().equals(attemptId)) {
          throw new InvariantViolatedException(
              Invariant.CONFIGURATION_SEQUENCE,
              attemptId + " was refused but is in force as version " + version);
        }
      }
    }

    void onImage(ConfigurationNode node, ConfigurationImage before, ConfigurationImage after) {
      if (after.version() < before.version()) {
        throw new InvariantViolatedException(
            Invariant.CONFIGURATION_NEVER_REVERTS,
            node.name() + " went from " + before.version() + " to " + after.version());
      }
      if (!after.equals(replay(after.version()))) {
        throw new InvariantViolatedException(
            Invariant.CONFIGURATION_SEQUENCE,
            node.name() + " has another content of version " + after.version());
      }
    }

    private ConfigurationImage replay(long version) {
      for (long next = 1; next <= version; next++) {
        if (!replayed.containsKey(next)) {
          replayed.put(next, replayed.get(next - 1).apply(change(next)));
        }
      }
      return replayed.get(version);
    }

    private long newest() {
      Object head = table.row(ConfigurationNode.HEAD).value();
      return head == null ? 0 : (Long) head;
    }

    private ConfigurationDelta change(long version) {
      return (ConfigurationDelta) table.row(ConfigurationNode.changeKey(version)).value();
    }
  }
}
