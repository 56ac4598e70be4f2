package org.fallturn.rehearsal.modelcheck;

import java.util.Optional;

/** A simulation that one seed decides completely. Implementations are stateless. */
public interface Scenario {

  /** Its name in reports. */
  String name();

  /**
   * Plays it to its end.
   *
   * @param variant the deliberate fault to build in, if any
   * @param coverage counts what happened
   * @throws InvariantViolatedException at the first violation
   */
  void play(Simulation simulation, Optional<BrokenVariant> variant, Coverage coverage);

  /**
   * Runs it once.
   *
   * @param variant the deliberate fault to build in, if any
   * @param coverage counts what happened
   * @return the first violation
   */
  default Optional<Violation> run(long seed, Optional<BrokenVariant> variant, Coverage coverage) {
    Simulation simulation = new Simulation(seed);
    try {
      play(simulation, variant, coverage);
      return Optional.empty();
    } catch (InvariantViolatedException e) {
      return Optional.of(
          new Violation(name(), seed, e.invariant(), e.getMessage(), simulation.traceLines()));
    }
  }
}
