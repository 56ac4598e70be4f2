package org.fallturn.node.gateway;

import java.util.concurrent.atomic.AtomicBoolean;
import org.fallturn.node.duty.FaultDecision;
import org.fallturn.node.duty.FaultListener;

/**
 * Hears of each fault of the gateway's duties, and ends the node once one of them cannot go on.
 * Thread-safe. What is done first needs no memory: the node is no longer ready and takes nothing
 * more.
 */
final class FatalFaultHandler implements FaultListener {

  private final GatewayState state;
  private final DecisionLog log;
  private final ProcessExit process;
  private final ShutdownSteps work;
  private final AtomicBoolean begun = new AtomicBoolean();

  /** Made early, since a process without memory may not be able to. */
  private final Thread thread = new Thread(this::run, "node-end");

  /** What is done before the process ends. */
  interface ShutdownSteps {

    /** Gives up what is held; must not wait. */
    void stopDuties();

    /** Waits, within a bound, until the answers have reached their callers. */
    void awaitAnswers() throws InterruptedException;
  }

  FatalFaultHandler(GatewayState state, DecisionLog log, ProcessExit process, ShutdownSteps work) {
    this.state = state;
    this.log = log;
    this.process = process;
    this.work = work;
    thread.setDaemon(true);
  }

  @Override
  public void onFault(String duty, Throwable fault, FaultDecision answer) {
    try {
      if (!answer.goesOn()) {
        state.beginStop();
        state.refuseRequests();
      }
      log.dutyFailed(duty, fault, answer);
    } finally {
      if (!answer.goesOn() && begun.compareAndSet(false, true)) {
        begin();
      }
    }
  }

  private void begin() {
    try {
      work.stopDuties();
      thread.start();
    } catch (Throwable noThread) {
      process.end(ProcessExit.DUTY_FAILED);
    }
  }

  private void run() {
    try {
      work.awaitAnswers();
      log.stopped(state.inFlight());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      process.end(ProcessExit.DUTY_FAILED);
    }
  }
}
