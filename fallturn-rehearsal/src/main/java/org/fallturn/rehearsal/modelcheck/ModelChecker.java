package org.fallturn.rehearsal.modelcheck;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

/** Runs scenarios over many seeds on all cores. */
public final class ModelChecker {

  private static final List<Scenario> SCENARIOS =
      List.of(
          new LeadershipScenario(),
          new ConfigurationScenario(),
          new ClaimScenario(),
          new RequestScenario(),
          new PlacementScenario());

  private ModelChecker() {}

  /** Every scenario. */
  public static List<Scenario> scenarios() {
    return SCENARIOS;
  }

  /** The scenario of that name. */
  public static Optional<Scenario> scenario(String name) {
    return SCENARIOS.stream().filter(scenario -> scenario.name().equals(name)).findFirst();
  }

  /**
   * Runs a scenario over consecutive seeds.
   *
   * @param first the first seed
   * @param count how many
   * @param variant the deliberate fault to build in, if any
   */
  public static CheckResult check(
      Scenario scenario, long first, int count, Optional<BrokenVariant> variant) {
    List<SeedResult> results =
        LongStream.range(first, first + count)
            .parallel()
            .mapToObj(seed -> runSeed(scenario, seed, variant))
            .toList();
    Coverage coverage = new Coverage();
    results.forEach(result -> coverage.merge(result.coverage()));
    List<Violation> violations =
        results.stream().flatMap(result -> result.violation().stream()).toList();
    return new CheckResult(count, violations, coverage);
  }

  /**
   * The violation of the lowest seed that has one, whatever the threads do.
   *
   * <p>A violation without a trace broke the invariant before the first traced event: in the state
   * that the run began in.
   */
  public static Optional<Violation> firstViolation(
      Scenario scenario, long first, int count, BrokenVariant variant) {
    return LongStream.range(first, first + count)
        .parallel()
        .mapToObj(seed -> runSeed(scenario, seed, Optional.of(variant)))
        .flatMap(result -> result.violation().stream())
        .filter(violation -> variant.expected().contains(violation.invariant()))
        .findFirst();
  }

  private static SeedResult runSeed(Scenario scenario, long seed, Optional<BrokenVariant> variant) {
    Coverage coverage = new Coverage();
    try {
      return new SeedResult(scenario.run(seed, variant, coverage), coverage);
    } catch (RuntimeException e) {
      throw new IllegalStateException("scenario " + scenario.name() + " failed at seed " + seed, e);
    }
  }

  private record SeedResult(Optional<Violation> violation, Coverage coverage) {}

  /**
   * Result over many seeds.
   *
   * @param seeds how many were run
   * @param violations one a seed at most
   * @param coverage what the simulations went through
   */
  public record CheckResult(int seeds, List<Violation> violations, Coverage coverage) {}
}
