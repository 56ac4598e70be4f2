package org.fallturn.rehearsal.simulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.placement.PlacementParameters;
import org.fallturn.core.placement.PoolScheduler;
import org.fallturn.core.roles.PredictiveRolePolicy;
import org.fallturn.core.roles.RolePolicyParameters;
import org.fallturn.rehearsal.workload.ArrivalGenerator;
import org.fallturn.rehearsal.workload.MixFeedback;
import org.fallturn.rehearsal.workload.MixShift;
import org.fallturn.rehearsal.workload.Workload;
import org.fallturn.rehearsal.workload.WorkloadFile;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

class SimulationTest {
  private static Workload workload;
  private static MixShift step;

  @BeforeAll
  static void readWorkload() throws Exception {
    workload = WorkloadFile.builtIn("alava");
    step = workload.shift("step").orElseThrow();
  }

  @Test
  void equalSeedsGiveEqualRuns() {
    SimulationResult first = play(3, SimulationSettings.DEFAULT);
    SimulationResult second = play(3, SimulationSettings.DEFAULT);

    assertThat(second.byUrgency()).isEqualTo(first.byUrgency());
    assertThat(second.plan()).isEqualTo(first.plan());
    assertThat(second.events()).isEqualTo(first.events());
  }

  @Test
  void everyRequestEndsExactlyOnce() {
    OutcomeCounts total = play(4, SimulationSettings.DEFAULT).total();

    assertThat(total.offered()).isEqualTo(requests(4));
    assertThat(total.inTime() + total.refused() + total.late()).isEqualTo(total.offered());
  }

  @Test
  void everyRequestEndsExactlyOnceThroughCrashesAndStoreOutages() {
    SimulationSettings faults =
        SimulationSettings.DEFAULT.withFaults(30, List.of(new SimulationSettings.Outage(50, 60)));

    SimulationResult result = play(5, faults);

    assertThat(result.crashes()).isPositive();
    assertThat(result.total().offered()).isEqualTo(requests(5));
    assertThat(result.plan().subMap(50_000_000_000L, 110_000_000_000L)).isEmpty();
  }

  private static long requests(long seed) {
    ArrivalGenerator arrivals = new ArrivalGenerator(workload, step, seed, MixFeedback.NONE);
    long count = 0;
    while (arrivals.hasNext()) {
      arrivals.next();
      count++;
    }
    return count;
  }

  private static SimulationResult play(long seed, SimulationSettings settings) {
    return new Simulation(
            workload,
            step,
            seed,
            settings,
            engines -> engines / 2,
            pool -> new PoolScheduler(pool, new Epoch(1), PlacementParameters.defaults(), 0),
            pool -> new PredictiveRolePolicy(RolePolicyParameters.DEFAULT))
        .run();
  }
}
