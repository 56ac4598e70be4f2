package org.fallturn.rehearsal.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fallturn.rehearsal.limits.LimitsScenario.Failure;
import org.junit.jupiter.api.Test;

class LimitsSimulationTest {

  private static final double ROUNDING = 1e-6;

  @Property(tries = 30, seed = "20261203")
  void shareSumNeverPassesTheLimitWhateverFails(@ForAll @IntRange(max = 1_000_000) int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    int nodes = 3 + random.nextInt(6);
    List<Failure> failures = new ArrayList<>();
    for (int index = 0; index < 3; index++) {
      double at = 6 + random.nextDouble() * 60;
      failures.add(
          random.nextBoolean()
              ? new Failure.Death(at, random.nextInt(nodes))
              : new Failure.Partition(at, random.nextInt(nodes)));
    }
    LimitsOutcome outcome =
        new LimitsSimulation(
                new LimitsScenario("random", nodes, 3, 50, 3, 2, 4, 20, 90, failures), seed)
            .run();
    assertThat(outcome.admitted()).isPositive();
    assertThat(outcome.worstShareSum()).isLessThanOrEqualTo(1 + ROUNDING);
    assertThat(outcome.worstWindow()).isLessThanOrEqualTo(1);
  }

  @Test
  void skewedTrafficUsesNearlyTheWholeLimit() {
    LimitsOutcome outcome =
        new LimitsSimulation(new LimitsScenario("skew", 8, 4, 50, 3, 1, 1000, 0, 60, List.of()), 1)
            .run();
    assertThat(outcome.useReached()).isGreaterThan(0.9);
  }

  @Test
  void unusedSharesMoveWithTheTraffic() {
    LimitsOutcome outcome =
        new LimitsSimulation(new LimitsScenario("move", 8, 4, 50, 3, 1, 10, 0, 65, List.of()), 1)
            .run();
    assertThat(outcome.useReached()).isGreaterThan(0.7);
    assertThat(outcome.worstWindow()).isLessThanOrEqualTo(1);
  }

  @Test
  void deathOfOwnersRefusesNoMoreThanWithoutIt() {
    List<Failure> deaths = List.of(new Failure.Death(30, 7), new Failure.Death(45, 6));
    LimitsOutcome without = belowTheLimit(List.of());
    LimitsOutcome with = belowTheLimit(deaths);
    assertThat(refusedShare(with)).isLessThanOrEqualTo(refusedShare(without) + 0.0005);
  }

  private static LimitsOutcome belowTheLimit(List<Failure> failures) {
    return new LimitsSimulation(
            new LimitsScenario("death", 8, 16, 50, 0.3, 4, 1000, 0, 90, failures), 1)
        .run();
  }

  private static double refusedShare(LimitsOutcome outcome) {
    return (double) outcome.refusedLater() / outcome.offered();
  }
}
