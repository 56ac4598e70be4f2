package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.port.table.RowKey;

/**
 * Callers send requests that must not be repeated, each with an idempotency key, and send them
 * again through other nodes when they get no answer or a "not run". Nodes claim keys in the table
 * and forward to back ends.
 */
public final class ClaimScenario implements Scenario {

  static final String NAME = "claims";

  private static final Duration LENGTH = Duration.ofSeconds(60);
  private static final Duration MAX_BETWEEN_FAULTS = Duration.ofSeconds(3);
  private static final Duration SHORT = Duration.ofMillis(200);
  private static final Duration LONG = Duration.ofSeconds(10);
  private static final Duration CALLER_PATIENCE = Duration.ofSeconds(5);
  private static final int NODES = 3;
  private static final int BACK_ENDS = 2;
  private static final int KEYS = 25;
  private static final int MAX_TRIES = 6;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void play(Simulation simulation, Optional<BrokenVariant> variant, Coverage coverage) {
    new World(simulation, variant, coverage).run();
  }

  /** What the caller was told. */
  record CallerAnswer(Kind kind, String body) {
    enum Kind {
      DONE,
      NOT_RUN,
      UNKNOWN
    }
  }

  /** The table, nodes, back ends, callers and checks. */
  static final class World {
    private final Simulation simulation;
    private final Optional<BrokenVariant> variant;
    private final Coverage coverage;
    private final SimulatedTable<RowKey, String> table;
    private final SimulatedClaimCodec codec = new SimulatedClaimCodec();
    private final List<ClaimNode> nodes = new ArrayList<>();
    private final Map<String, Integer> runsOfKey = new HashMap<>();
    private final Set<String> ranAttempts = new HashSet<>();
    private final Set<String> notRunAttempts = new HashSet<>();
    private int nextNode = 1;
    private int nextAttempt = 1;

    World(Simulation simulation, Optional<BrokenVariant> variant, Coverage coverage) {
      this.simulation = simulation;
      this.variant = variant;
      this.coverage = coverage;
      this.table = new SimulatedTable<>(simulation);
    }

    Simulation simulation() {
      return simulation;
    }

    SimulatedTable<RowKey, String> table() {
      return table;
    }

    SimulatedClaimCodec codec() {
      return codec;
    }

    Coverage coverage() {
      return coverage;
    }

    boolean isBroken(BrokenVariant broken) {
      return variant.filter(broken::equals).isPresent();
    }

    String nextAttemptId() {
      return "attempt-" + nextAttempt++;
    }

    List<String> backEnds() {
      List<String> names = new ArrayList<>();
      for (int index = 0; index < BACK_ENDS; index++) {
        names.add("back-end-" + index);
      }
      return names;
    }

    void run() {
      for (int index = 0; index < NODES; index++) {
        addNode();
      }
      for (int index = 0; index < KEYS; index++) {
        String key = "key-" + index;
        simulation.after(simulation.random().nextLong(LENGTH.toNanos()), () -> call(key, 1));
      }
      scheduleFault();
      simulation.run(LENGTH);
    }

    private void addNode() {
      nodes.add(new ClaimNode(this, "node-" + nextNode++));
    }

    // Callers.

    private void call(String key, int tries) {
      if (tries > MAX_TRIES) {
        return;
      }
      ClaimNode node = nodes.get(simulation.random().nextInt(nodes.size()));
      boolean[] answered = {false};
      Runnable again =
          () ->
              simulation.after(
                  simulation.between(SHORT, CALLER_PATIENCE), () -> call(key, tries + 1));
      simulation.sendOnce(
          "caller",
          node.name(),
          () ->
              node.inProcess(
                  () ->
                      node.onRequest(
                          key,
                          answer ->
                              simulation.sendOnce(
                                  node.name(),
                                  "caller",
                                  () -> {
                                    answered[0] = true;
                                    onCallerAnswer(key, answer, again);
                                  }))));
      simulation.after(
          CALLER_PATIENCE.toNanos(),
          () -> {
            if (!answered[0]) {
              again.run();
            }
          });
    }

    private void onCallerAnswer(String key, CallerAnswer answer, Runnable again) {
      coverage.count("told-" + answer.kind().name().toLowerCase(java.util.Locale.ROOT));
      if (answer.kind() != CallerAnswer.Kind.DONE) {
        again.run();
      } else if (!answer.body().equals("answer to " + key)) {
        throw new InvariantViolatedException(
            Invariant.WHOLE_OWN_ANSWER, "the caller of " + key + " got " + answer.body());
      }
    }

    // Back ends.

    /** A back end carries a request out. */
    String execute(String key, String attemptId) {
      simulation.trace(() -> "a back end runs " + key + " for " + attemptId);
      coverage.count("runs");
      ranAttempts.add(attemptId);
      if (runsOfKey.merge(key, 1, Integer::sum) > 1) {
        throw new InvariantViolatedException(
            Invariant.AT_MOST_ONCE, key + " ran again, now for " + attemptId);
      }
      checkNotRun(attemptId);
      return "answer to " + key;
    }

    void onNotRun(String attemptId) {
      simulation.trace(() -> "told that " + attemptId + " did not run");
      notRunAttempts.add(attemptId);
      checkNotRun(attemptId);
    }

    private void checkNotRun(String attemptId) {
      if (ranAttempts.contains(attemptId) && notRunAttempts.contains(attemptId)) {
        throw new InvariantViolatedException(
            Invariant.NOT_RUN_IS_TRUE, attemptId + " ran although its caller was told not-run");
      }
    }

    // Faults.

    private void scheduleFault() {
      simulation.after(
          simulation.between(SHORT, MAX_BETWEEN_FAULTS),
          () -> {
            fault();
            scheduleFault();
          });
    }

    private void fault() {
      ClaimNode node = nodes.get(simulation.random().nextInt(nodes.size()));
      String backEnd = backEnds().get(simulation.random().nextInt(BACK_ENDS));
      long length = simulation.between(SHORT, LONG);
      switch (simulation.random().nextInt(6)) {
        case 0 -> {
          node.kill();
          nodes.remove(node);
          addNode();
        }
        case 1 -> node.pause(length);
        case 2 -> {
          simulation.trace(() -> "the table goes down");
          table.down(true);
          simulation.after(length, () -> table.down(false));
        }
        case 3 -> cut(SimulatedTable.NAME, node.name(), length);
        case 4 -> cut(backEnd, node.name(), length);
        case 5 -> cut(node.name(), backEnd, length);
        default -> throw new IllegalStateException("no such fault");
      }
    }

    private void cut(String from, String to, long length) {
      simulation.trace(() -> "nothing from " + from + " reaches " + to);
      simulation.cut(from, to);
      simulation.after(length, () -> simulation.heal(from, to));
    }
  }
}
