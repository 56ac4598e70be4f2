package org.fallturn.rehearsal.experiment;

import java.util.EnumMap;
import java.util.Map;
import org.fallturn.core.roles.PredictiveRolePolicy;
import org.fallturn.core.roles.RolePolicyParameters;
import org.fallturn.core.roles.StaticRolePolicy;
import org.fallturn.core.roles.ThresholdRolePolicy;
import org.fallturn.rehearsal.simulator.SimulationResult;
import org.fallturn.rehearsal.workload.Deployment;

/** Plays one case with every contender. Stateless. */
final class RoleContest {
  private RoleContest() {}

  static Map<Contender, SimulationResult> play(RoleCase roleCase) {
    Map<Contender, SimulationResult> results = new EnumMap<>(Contender.class);
    SimulationResult predictive =
        roleCase.play(() -> new PredictiveRolePolicy(RolePolicyParameters.DEFAULT));
    SimulationResult threshold = roleCase.play(ThresholdRolePolicy::new);
    results.put(Contender.PREDICTIVE, predictive);
    results.put(Contender.THRESHOLD, threshold);
    results.put(Contender.BEST_STATIC, bestStatic(roleCase));
    OracleSearch oracle = new OracleSearch(roleCase);
    oracle.consider(predictive);
    oracle.consider(threshold);
    results.put(Contender.ORACLE, oracle.search());
    return results;
  }

  /** Goodput rises towards the best split from both sides, so the search climbs from the middle. */
  private static SimulationResult bestStatic(RoleCase roleCase) {
    Deployment deployment = roleCase.workload().deployment();
    int engines = deployment.engines() / deployment.models().size();
    int middle = engines / 2;
    SimulationResult best = playStatic(roleCase, middle);
    for (int direction = -1; direction <= 1; direction += 2) {
      int split = middle + direction;
      boolean climbs = true;
      while (climbs && split >= 1 && split < engines) {
        SimulationResult result = playStatic(roleCase, split);
        climbs = result.goodput() > best.goodput();
        best = climbs ? result : best;
        split += direction;
      }
    }
    return best;
  }

  private static SimulationResult playStatic(RoleCase roleCase, int prefillEngines) {
    return roleCase.play(() -> new StaticRolePolicy(prefillEngines), engines -> prefillEngines);
  }
}
