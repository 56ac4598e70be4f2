package org.fallturn.rehearsal.simulator;

/**
 * How requests ended.
 *
 * @param offered requests sent
 * @param inTime answered completely within the deadline
 * @param refused refused as not run
 * @param late cut off at the deadline, or answered after it
 */
public record OutcomeCounts(long offered, long inTime, long refused, long late) {
  /** No requests. */
  public static final OutcomeCounts NONE = new OutcomeCounts(0, 0, 0, 0);

  /** The sum of both. */
  public OutcomeCounts plus(OutcomeCounts other) {
    return new OutcomeCounts(
        offered + other.offered, inTime + other.inTime, refused + other.refused, late + other.late);
  }

  /** Share answered within the deadline; 1 when there were none. */
  public double inTimeShare() {
    return offered == 0 ? 1 : (double) inTime / offered;
  }
}
