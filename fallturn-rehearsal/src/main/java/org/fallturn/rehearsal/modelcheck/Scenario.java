package org.fallturn.rehearsal.modelcheck;

import java.util.Optional;

/** A simulation that one seed decides completely. Implementations are stateless. */
public interface Scenario {

  /** Its name in reports. */
  String name();

  /**
   * Runs it once.
   *
   * @param variant the deliberate fault to build in, if any
   * @param coverage counts what happened
   * @return the first violation
   */
  Optional<Violation> run(long seed, Optional<BrokenVariant> variant, Coverage coverage);
}
