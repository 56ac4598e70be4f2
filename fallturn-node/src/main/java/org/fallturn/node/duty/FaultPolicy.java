package org.fallturn.node.duty;

import java.util.concurrent.TimeUnit;

/**
 * Decides what follows each fault of one duty. Pure; for one thread.
 *
 * <p>Answers the load of faults that come again and again: pauses double up to a bound, so that
 * neither the log nor a dependency is flooded. An exception mostly speaks of one input, which every
 * node may get, so that exceptions alone end no duty; one exception to that is a tick that fails
 * each time, since deadlines are kept there. An Error speaks of the process: one ends a duty that
 * alone holds its state, several in a row end any, and one for want of memory too, as nothing is
 * sure to work after it. A process that starts again has its classes and its memory anew.
 */
public final class FaultPolicy {

  /** Errors after each of which a duty is started anew, before its process is given up. */
  static final int MAX_ERRORS_IN_SERIES = 8;

  /** A fault that comes later than this after the one before begins a new row. */
  static final long FAULT_SERIES_GAP_NANOS = TimeUnit.SECONDS.toNanos(30);

  static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Less than the time in which peers and followed tables are taken for lost. */
  static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** How long each tick may fail: about what a caller waits before it asks elsewhere. */
  static final long MAX_TICK_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int MAX_DOUBLINGS = 10;
  private static final int MAX_CAUSES = 16;

  private final DutyState state;
  private int faultsInARow;
  private int errorsInARow;
  private long lastFaultNanos;
  private boolean ticksFail;
  private long ticksFailSinceNanos;

  /** A policy for a duty that has not failed. */
  public FaultPolicy(DutyState state) {
    this.state = state;
  }

  /** What follows a fault. */
  public FaultDecision onFault(Throwable fault, long nowNanos) {
    if (faultsInARow > 0 && nowNanos - lastFaultNanos > FAULT_SERIES_GAP_NANOS) {
      faultsInARow = 0;
      errorsInARow = 0;
    }
    lastFaultNanos = nowNanos;
    faultsInARow++;
    boolean error = fault instanceof Error;
    errorsInARow += error ? 1 : 0;
    boolean tooMany = state == DutyState.HELD_ALONE || errorsInARow > MAX_ERRORS_IN_SERIES;
    if (isForWantOfMemory(fault) || error && tooMany) {
      return FaultDecision.END;
    }
    int doublings = Math.min(faultsInARow - 1, MAX_DOUBLINGS);
    return new FaultDecision(true, Math.min(FIRST_PAUSE_NANOS << doublings, MAX_PAUSE_NANOS));
  }

  /** What follows a fault of a tick. */
  public FaultDecision onTickFault(Throwable fault, long nowNanos) {
    if (!ticksFail) {
      ticksFail = true;
      ticksFailSinceNanos = nowNanos;
    }
    boolean tooLong = nowNanos - ticksFailSinceNanos > MAX_TICK_FAILURE_NANOS;
    FaultDecision answer = onFault(fault, nowNanos);
    return state == DutyState.HELD_ALONE && tooLong ? FaultDecision.END : answer;
  }

  /** A tick did not fail. */
  public void onTickSuccess() {
    ticksFail = false;
  }

  private static boolean isForWantOfMemory(Throwable fault) {
    Throwable cause = fault;
    for (int depth = 0; cause != null && depth < MAX_CAUSES; depth++) {
      if (cause instanceof OutOfMemoryError) {
        return true;
      }
      cause = cause.getCause();
    }
    return false;
  }
}
