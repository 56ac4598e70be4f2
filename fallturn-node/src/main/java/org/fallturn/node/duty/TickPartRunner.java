package org.fallturn.node.duty;

/** Runs one part of a duty's periodic work when it is due. Only the duty's thread calls. */
final class TickPartRunner {

  private final TickPart part;
  private final DutyFaultHandler faults;
  private final long intervalNanos;
  private long dueNanos;

  /**
   * Creates the runner of a part that is due.
   *
   * @param faults decides how the part continues after a fault
   */
  TickPartRunner(TickPart part, DutyFaultHandler faults, long nowNanos) {
    this.part = part;
    this.faults = faults;
    this.intervalNanos = part.interval().toNanos();
    this.dueNanos = nowNanos;
  }

  /** Runs the part if it is due; returns whether the duty goes on. */
  boolean run(long nowNanos) {
    if (nowNanos - dueNanos < 0) {
      return true;
    }
    dueNanos = nowNanos + intervalNanos;
    try {
      part.work().accept(nowNanos);
      return true;
    } catch (Throwable fault) {
      FaultDecision decision = faults.onFault(fault);
      dueNanos = nowNanos + decision.pauseNanos();
      return decision.goesOn();
    }
  }
}
