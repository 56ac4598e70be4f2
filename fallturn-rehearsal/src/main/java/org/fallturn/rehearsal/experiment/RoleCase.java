package org.fallturn.rehearsal.experiment;

import org.fallturn.core.domain.Epoch;
import org.fallturn.core.placement.PlacementParameters;
import org.fallturn.core.placement.PoolScheduler;
import org.fallturn.core.roles.RolePolicy;
import org.fallturn.rehearsal.simulator.Simulation;
import org.fallturn.rehearsal.simulator.SimulationResult;
import org.fallturn.rehearsal.simulator.SimulationSettings;
import org.fallturn.rehearsal.workload.MixShift;
import org.fallturn.rehearsal.workload.Workload;

/**
 * One workload, shift and seed, to be played with several role policies.
 *
 * @param workload the workload
 * @param shift how its mix moves
 * @param seed what random numbers start from
 * @param settings the simulated fleet
 */
record RoleCase(Workload workload, MixShift shift, long seed, SimulationSettings settings) {
  private static final Epoch EPOCH = new Epoch(1);

  /** Plays it from an even split of the roles. */
  SimulationResult play(Supplier policies) {
    return play(policies, engines -> engines / 2);
  }

  /** Plays it from a given split of the roles. */
  SimulationResult play(Supplier policies, java.util.function.IntFunction<Integer> initialPrefill) {
    return new Simulation(
            workload,
            shift,
            seed,
            settings,
            initialPrefill,
            pool -> new PoolScheduler(pool, EPOCH, PlacementParameters.defaults(), 0),
            pool -> policies.get())
        .run();
  }

  /** Requests in time, less the operators' price of the role changes. */
  double worth(SimulationResult result) {
    double price = workload.deployment().roleChangeWeight() * result.roleChanges();
    return result.total().inTime() - price;
  }

  /** The same as a share of the requests offered, so that reactive shifts compare. */
  double worthShare(SimulationResult result) {
    return worth(result) / result.total().offered();
  }

  /** Makes a fresh policy for a pool. */
  @FunctionalInterface
  interface Supplier {
    RolePolicy get();
  }
}
