package org.fallturn.node.duty;

import java.util.concurrent.TimeUnit;

/**
 * Decides how one duty continues after each of its faults: after a pause with exponential backoff,
 * or not at all. Uses no clock and does no I/O. Not thread-safe.
 *
 * <p>Repeated faults form a series. The pause doubles with each fault of a series, up to a bound,
 * so that neither the log nor a dependency is flooded.
 *
 * <ul>
 *   <li>Exceptions do not end a duty. An exception is mostly caused by one input, and every node
 *       may receive that input.
 *   <li>Ticks that keep failing are different, since ticks enforce deadlines: they end a duty that
 *       is the only holder of its state.
 *   <li>An {@link Error} concerns the process. A single one ends a duty that is the only holder of
 *       its state, several in one series end any duty.
 *   <li>An {@link OutOfMemoryError}, also as the cause of another fault, ends any duty, since
 *       nothing is sure to work after it.
 * </ul>
 *
 * <p>Ending the process helps against Errors: the new process loads its classes again and starts
 * with free memory.
 */
public final class FaultPolicy {

  /** Number of Errors in one series that a duty survives; the next one ends the duty. */
  static final int MAX_ERRORS_IN_SERIES = 8;

  /** A fault that follows the previous one after more than this time starts a new series. */
  static final long FAULT_SERIES_GAP_NANOS = TimeUnit.SECONDS.toNanos(30);

  static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Must stay below the time after which peers and followed tables count as lost. */
  static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * How long all ticks may fail before a duty ends that is the only holder of its state. This is
   * about how long a caller waits before it tries another node.
   */
  static final long MAX_TICK_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final int MAX_DOUBLINGS = 10;
  private static final int MAX_CAUSES = 16;

  private final DutyState state;
  private int faultsInSeries;
  private int errorsInSeries;
  private long lastFaultNanos;
  private boolean ticksFailing;
  private long ticksFailingSinceNanos;

  /**
   * Creates a policy for a duty that has not failed yet.
   *
   * @param state whether the duty can be restarted after an Error
   */
  public FaultPolicy(DutyState state) {
    this.state = state;
  }

  /**
   * Decides how the duty continues after a fault.
   *
   * @param fault what the duty threw
   * @param nowNanos time of the fault on the monotonic clock, in nanoseconds
   */
  public FaultDecision onFault(Throwable fault, long nowNanos) {
    if (faultsInSeries > 0 && nowNanos - lastFaultNanos > FAULT_SERIES_GAP_NANOS) {
      faultsInSeries = 0;
      errorsInSeries = 0;
    }
    lastFaultNanos = nowNanos;
    faultsInSeries++;
    boolean error = fault instanceof Error;
    errorsInSeries += error ? 1 : 0;
    boolean tooMany = state == DutyState.HELD_ALONE || errorsInSeries > MAX_ERRORS_IN_SERIES;
    if (isCausedByOutOfMemory(fault) || error && tooMany) {
      return FaultDecision.END;
    }
    int doublings = Math.min(faultsInSeries - 1, MAX_DOUBLINGS);
    return new FaultDecision(true, Math.min(FIRST_PAUSE_NANOS << doublings, MAX_PAUSE_NANOS));
  }

  /**
   * Decides how the duty continues after a tick failed.
   *
   * @param fault what the tick threw
   * @param nowNanos time of the fault on the monotonic clock, in nanoseconds
   */
  public FaultDecision onTickFault(Throwable fault, long nowNanos) {
    if (!ticksFailing) {
      ticksFailing = true;
      ticksFailingSinceNanos = nowNanos;
    }
    boolean tooLong = nowNanos - ticksFailingSinceNanos > MAX_TICK_FAILURE_NANOS;
    FaultDecision decision = onFault(fault, nowNanos);
    return state == DutyState.HELD_ALONE && tooLong ? FaultDecision.END : decision;
  }

  /** Records that a tick succeeded. */
  public void onTickSuccess() {
    ticksFailing = false;
  }

  private static boolean isCausedByOutOfMemory(Throwable fault) {
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
