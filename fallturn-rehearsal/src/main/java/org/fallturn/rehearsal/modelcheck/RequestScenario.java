package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.Outcome;

/**
 * Model requests run on engines that refuse, crash, stall, and send late, doubled, crossed and
 * broken chunks.
 */
public final class RequestScenario implements Scenario {

  static final String NAME = "requests";

  private static final Duration LENGTH = Duration.ofSeconds(40);
  private static final int REQUESTS = 30;
  private static final int ENGINES = 4;

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void play(Simulation simulation, Optional<BrokenVariant> variant, Coverage coverage) {
    new World(simulation, variant, coverage).run();
  }

  /** The engines' faults, the requests and the checks. */
  static final class World {
    private final Simulation simulation;
    private final Optional<BrokenVariant> variant;
    private final Coverage coverage;
    private final Map<String, Set<Integer>> generations = new HashMap<>();
    private final Set<String> seen = new HashSet<>();
    private final Set<String> notRun = new HashSet<>();
    private final Set<String> notRepeatable = new HashSet<>();

    World(Simulation simulation, Optional<BrokenVariant> variant, Coverage coverage) {
      this.simulation = simulation;
      this.variant = variant;
      this.coverage = coverage;
    }

    Simulation simulation() {
      return simulation;
    }

    Coverage coverage() {
      return coverage;
    }

    boolean isBroken(BrokenVariant broken) {
      return variant.filter(broken::equals).isPresent();
    }

    List<String> engines() {
      List<String> names = new ArrayList<>();
      for (int index = 0; index < ENGINES; index++) {
        names.add("engine-" + index);
      }
      return names;
    }

    void run() {
      for (int index = 0; index < REQUESTS; index++) {
        boolean repeatable = simulation.chance(0.6);
        String id = "request-" + index;
        if (!repeatable) {
          notRepeatable.add(id);
        }
        RequestDriver driver = new RequestDriver(this, id, repeatable);
        simulation.after(simulation.random().nextLong(LENGTH.toNanos() / 2), driver::start);
      }
      simulation.run(LENGTH);
    }

    // Checks.

    /** An engine has received a prompt to prefill; repeating that is harmless. */
    void onPrefill(String request) {
      seen.add(request);
      checkNotRun(request);
    }

    /** An engine starts to generate. */
    void onGenerate(String request, int attempt) {
      seen.add(request);
      Set<Integer> attempts = generations.computeIfAbsent(request, key -> new HashSet<>());
      attempts.add(attempt);
      if (notRepeatable.contains(request) && attempts.size() > 1) {
        throw new InvariantViolatedException(
            Invariant.AT_MOST_ONCE, request + " must not be repeated but ran as " + attempts);
      }
      checkNotRun(request);
    }

    void onFail(String request, ErrorKind kind) {
      coverage.count("failed-" + kind);
      if (kind.outcome() == Outcome.NOT_RUN) {
        notRun.add(request);
        checkNotRun(request);
      }
    }

    private void checkNotRun(String request) {
      if (notRun.contains(request) && seen.contains(request)) {
        throw new InvariantViolatedException(
            Invariant.NOT_RUN_IS_TRUE, request + " ran although its caller was told not-run");
      }
    }

    void onDelivered(String request, List<String> received, boolean complete, int length) {
      for (int offset = 0; offset < received.size(); offset++) {
        if (!received.get(offset).equals(token(request, offset))) {
          throw new InvariantViolatedException(
              Invariant.WHOLE_OWN_ANSWER,
              request + " got " + received.get(offset) + " at offset " + offset);
        }
      }
      if (complete) {
        coverage.count("complete");
      }
      if (complete && received.size() != length) {
        throw new InvariantViolatedException(
            Invariant.WHOLE_OWN_ANSWER,
            request + " looks whole with " + received.size() + " of " + length + " tokens");
      }
    }

    static String token(String request, int offset) {
      return request + "/" + offset;
    }
  }
}
