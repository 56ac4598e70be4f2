package org.fallturn.node.duty;

/**
 * Handles the exceptions and errors that one duty did not catch: asks the {@link FaultPolicy} for a
 * decision and reports both to the listener. Only the duty's thread may call it. Throws nothing.
 */
public final class DutyFaultHandler {

  private final String duty;
  private final FaultPolicy policy;
  private final FaultListener listener;

  /**
   * Creates the handler for a duty that has not failed yet.
   *
   * @param duty name of the duty
   * @param state whether the duty can be restarted after an Error
   * @param listener receives each fault with the decision on it
   */
  public DutyFaultHandler(String duty, DutyState state, FaultListener listener) {
    this.duty = duty;
    this.policy = new FaultPolicy(state);
    this.listener = listener;
  }

  /** Decides how the duty continues after a fault, and reports it. */
  public FaultDecision onFault(Throwable fault) {
    return report(fault, policy.onFault(fault, System.nanoTime()));
  }

  /** Decides how the duty continues after a tick failed, and reports it. */
  public FaultDecision onTickFault(Throwable fault) {
    return report(fault, policy.onTickFault(fault, System.nanoTime()));
  }

  /** Records that a tick succeeded. */
  public void onTickSuccess() {
    policy.onTickSuccess();
  }

  /**
   * Reports a fault to the listener. The report may fail too, for example for the same lack of
   * memory or of a class; the second fault is then added to the first as suppressed.
   */
  private FaultDecision report(Throwable fault, FaultDecision decision) {
    try {
      listener.onFault(duty, fault, decision);
    } catch (Throwable reportFault) {
      fault.addSuppressed(reportFault);
    }
    return decision;
  }
}
