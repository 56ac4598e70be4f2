package org.fallturn.rehearsal.workload;

/**
 * How the mix moves between two mixes over time. Ranges are drawn once a run by the seed.
 *
 * @param name its name in the workload file
 * @param kind shape of the movement
 * @param from index of the mix at the start
 * @param to index of the other mix
 * @param startSeconds when the movement starts
 * @param lengthSeconds how long it takes (ramp) or lasts (burst)
 * @param periodSeconds time between swings (daily: a whole day; flapping and adversarial: a phase)
 */
public record MixShift(
    String name,
    Kind kind,
    int from,
    int to,
    NumberRange startSeconds,
    NumberRange lengthSeconds,
    NumberRange periodSeconds) {
  /** Shapes of a movement. */
  public enum Kind {
    /** All at once, for good. */
    STEP,
    /** Linear over the length, for good. */
    RAMP,
    /** A sine wave of the period. */
    DAILY,
    /** There and back, a phase each period. */
    FLAPPING,
    /** All at once for the length, then back. */
    BURST,
    /** At each period, to the mix that the present roles serve worse. */
    ADVERSARIAL
  }
}
