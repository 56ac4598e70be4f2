package org.fallturn.rehearsal.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.fallturn.core.roles.PlannedRolePolicy;
import org.fallturn.rehearsal.simulator.SimulationResult;
import org.fallturn.rehearsal.workload.Deployment;

/**
 * An oracle that knows the coming requests: it searches for the plan of role changes that is worth
 * most to the operators, each plan played on the simulator with the same scheduler and the very
 * requests. It starts from the plans of {@link FluidPlanner}, from every fixed number of prefill
 * engines near the best of them, and from what other contenders did, so it is worth at least as
 * much as each of these; then it improves the best by small changes. Not thread-safe.
 */
final class OracleSearch {
  private static final double[] PRICE_FACTORS = {1, 4};
  private static final double LEAST_PRICE = 15;
  private static final int IMPROVEMENTS = 10;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long SHORT_SHIFT = 4 * NANOS_PER_SECOND;
  private static final long LONG_SHIFT = 10 * NANOS_PER_SECOND;
  private static final int KINDS_OF_MUTATION = 4;
  private static final int ATTEMPTS_TO_DIFFER = 10;

  private final RoleCase roleCase;
  private final UniformRandomProvider random;
  private final Set<Map<Long, Integer>> played = new HashSet<>();
  private SimulationResult best;
  private double bestWorth = Double.NEGATIVE_INFINITY;

  OracleSearch(RoleCase roleCase) {
    this.roleCase = roleCase;
    random = RandomSource.XO_SHI_RO_256_PP.create(roleCase.seed());
  }

  /** Takes what another contender did as a plan to beat. */
  void consider(SimulationResult result) {
    double worth = roleCase.worthShare(result);
    boolean isBetter = worth > bestWorth;
    boolean isCalmer =
        worth == bestWorth && best != null && result.roleChanges() < best.roleChanges();
    if (isBetter || isCalmer) {
      best = result;
      bestWorth = worth;
    }
    played.add(result.plan());
  }

  /** The run of the best plan found. */
  SimulationResult search() {
    Deployment deployment = roleCase.workload().deployment();
    FluidPlanner planner = new FluidPlanner(roleCase);
    double price = Math.max(LEAST_PRICE, deployment.roleChangeWeight());
    for (double factor : PRICE_FACTORS) {
      play(planner.plan(price * factor));
    }
    int engines = deployment.engines() / deployment.models().size();
    int lastLevel = best.plan().isEmpty() ? engines / 2 : best.plan().lastEntry().getValue();
    play(constant(engines / 2));
    play(constant(lastLevel));
    for (int improvement = 0; improvement < IMPROVEMENTS; improvement++) {
      play(differentPlan());
    }
    return best;
  }

  private static NavigableMap<Long, Integer> constant(int prefillEngines) {
    return new TreeMap<>(Map.of(0L, prefillEngines));
  }

  private void play(NavigableMap<Long, Integer> plan) {
    if (played.add(plan)) {
      consider(roleCase.play(() -> new PlannedRolePolicy(plan)));
    }
  }

  private NavigableMap<Long, Integer> differentPlan() {
    NavigableMap<Long, Integer> plan = mutated(best.plan());
    for (int attempt = 0; attempt < ATTEMPTS_TO_DIFFER && played.contains(plan); attempt++) {
      plan = mutated(plan);
    }
    return plan;
  }

  private NavigableMap<Long, Integer> mutated(NavigableMap<Long, Integer> plan) {
    List<Map.Entry<Long, Integer>> steps = new ArrayList<>(plan.entrySet());
    int chosen = random.nextInt(steps.size());
    int kind = random.nextInt(KINDS_OF_MUTATION);
    long shift =
        (random.nextBoolean() ? 1 : -1) * (random.nextBoolean() ? SHORT_SHIFT : LONG_SHIFT);
    int level = random.nextBoolean() ? 1 : -1;
    NavigableMap<Long, Integer> mutated = new TreeMap<>();
    for (int index = 0; index < steps.size(); index++) {
      long time = steps.get(index).getKey();
      int prefill = steps.get(index).getValue();
      boolean isChosen = index == chosen;
      boolean moves = kind == 0 && isChosen || kind == 1;
      if (kind != 2 || !isChosen || steps.size() == 1) {
        int raised = kind == 3 && isChosen ? bounded(prefill + level) : prefill;
        mutated.put(moves ? Math.max(0, time + shift) : time, raised);
      }
    }
    return mutated;
  }

  private int bounded(int prefill) {
    Deployment deployment = roleCase.workload().deployment();
    int engines = deployment.engines() / deployment.models().size();
    int most = engines - deployment.minDecode();
    return Math.max(deployment.minPrefill(), Math.min(most, prefill));
  }
}
