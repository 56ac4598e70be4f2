package org.fallturn.rehearsal.modelcheck;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The intact protocol passes, every deliberate fault is caught, and runs can be repeated. */
class ModelCheckerTest {

  private static final int INTACT_SEEDS = 60;
  private static final int BROKEN_SEEDS = 1000;
  private static final long SEED_WITH_ALL_NODES_DOWN = 5207;

  private static Scenario scenario(String name) {
    return ModelChecker.scenario(name).orElseThrow();
  }

  @ParameterizedTest
  @EnumSource
  void catchesEveryBrokenVariant(BrokenVariant variant) {
    Optional<Violation> caught =
        ModelChecker.firstViolation(scenario(variant.scenario()), 1, BROKEN_SEEDS, variant);
    assertThat(caught).as("violation by %s", variant).isPresent();
    assertThat(caught.get().trace()).isNotEmpty();
  }

  @Test
  void intactProtocolKeepsEveryInvariant() {
    for (Scenario scenario : ModelChecker.scenarios()) {
      ModelChecker.CheckResult result =
          ModelChecker.check(scenario, 1, INTACT_SEEDS, Optional.empty());
      assertThat(result.violations()).as(scenario.name()).isEmpty();
    }
  }

  @Test
  void everyInvariantHasABrokenVariant() {
    Set<Invariant> covered =
        Stream.of(BrokenVariant.values())
            .flatMap(variant -> variant.expected().stream())
            .collect(Collectors.toSet());
    assertThat(covered).containsExactlyInAnyOrder(Invariant.values());
  }

  @Test
  void leadershipRunsReachTheHardCases() {
    Coverage coverage =
        ModelChecker.check(scenario("leadership"), 1, INTACT_SEEDS, Optional.empty()).coverage();
    assertThat(coverage.of("leaderships")).isGreaterThan(INTACT_SEEDS);
    assertThat(coverage.of("orders")).isPositive();
    assertThat(coverage.of("orders-by-witnesses")).isPositive();
    assertThat(coverage.of("orders-stopped-by-clock")).isPositive();
    assertThat(coverage.of("lost-answers")).isPositive();
    assertThat(coverage.of("lost-orders")).isPositive();
  }

  @Test
  void aZoneWithoutAnyLiveNodeIsNoFaultOfTheCheckerItself() {
    Optional<Violation> violation =
        scenario("leadership").run(SEED_WITH_ALL_NODES_DOWN, Optional.empty(), new Coverage());
    assertThat(violation).isEmpty();
  }

  @Test
  void sameSeedGivesTheSameRun() {
    Optional<BrokenVariant> variant = Optional.of(BrokenVariant.TAKEOVER_WITHOUT_WAITING);
    Scenario scenario = scenario("leadership");
    Optional<Violation> first = scenario.run(1, variant, new Coverage());
    Optional<Violation> second = scenario.run(1, variant, new Coverage());
    assertThat(first).isPresent().isEqualTo(second);
  }
}
