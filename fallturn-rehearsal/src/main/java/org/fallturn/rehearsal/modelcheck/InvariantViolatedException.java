package org.fallturn.rehearsal.modelcheck;

/** A simulation step has broken an invariant; ends the simulation. */
final class InvariantViolatedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Invariant invariant;

  InvariantViolatedException(Invariant invariant, String detail) {
    super(detail);
    this.invariant = invariant;
  }

  Invariant invariant() {
    return invariant;
  }
}
