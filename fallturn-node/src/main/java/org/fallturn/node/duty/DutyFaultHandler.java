package org.fallturn.node.duty;

/**
 * Takes what one duty did not catch: asks the policy what follows, and tells the listener. For the
 * duty's thread alone; throws nothing.
 */
public final class DutyFaultHandler {

  private final String duty;
  private final FaultPolicy policy;
  private final FaultListener listener;

  /** A guard of a duty that has not failed. */
  public DutyFaultHandler(String duty, DutyState state, FaultListener listener) {
    this.duty = duty;
    this.policy = new FaultPolicy(state);
    this.listener = listener;
  }

  /** What follows a fault. */
  public FaultDecision onFault(Throwable fault) {
    return tell(fault, policy.onFault(fault, System.nanoTime()));
  }

  /** What follows a fault of a tick. */
  public FaultDecision onTickFault(Throwable fault) {
    return tell(fault, policy.onTickFault(fault, System.nanoTime()));
  }

  /** A tick did not fail. */
  public void onTickSuccess() {
    policy.onTickSuccess();
  }

  /** What lacks memory or a class may fail once more while it is told of. */
  private FaultDecision tell(Throwable fault, FaultDecision answer) {
    try {
      listener.onFault(duty, fault, answer);
    } catch (Throwable again) {
      fault.addSuppressed(again);
    }
    return answer;
  }
}
