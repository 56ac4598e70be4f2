package org.fallturn.node.gateway;

import java.util.concurrent.atomic.AtomicBoolean;
import org.fallturn.node.duty.FaultDecision;
import org.fallturn.node.duty.FaultListener;

/**
 * Listener for the faults of the gateway's duties: logs each one, and shuts the node down once a
 * duty cannot go on. Thread-safe. The first steps of the shutdown allocate no memory, which may be
 * used up: the node stops being ready and refuses new requests.
 */
final class FatalFaultHandler implements FaultListener {

  private final GatewayState state;
  private final DecisionLog log;
  private final ProcessExit processExit;
  private final ShutdownSteps steps;
  private final AtomicBoolean shutdownBegun = new AtomicBoolean();

  /** Created early, since a process that has run out of memory may be unable to. */
  private final Thread thread = new Thread(this::finishShutdown, "node-end");

  /** The steps of the shutdown before the process ends. */
  interface ShutdownSteps {

    /** Stops the duties and gives up the requests that they hold; must not block. */
    void stopDuties();

    /** Waits for a bounded time until the answers in flight have reached their callers. */
    void awaitAnswers() throws InterruptedException;
  }

  FatalFaultHandler(
      GatewayState state, DecisionLog log, ProcessExit processExit, ShutdownSteps steps) {
    this.state = state;
    this.log = log;
    this.processExit = processExit;
    this.steps = steps;
    thread.setDaemon(true);
  }

  @Override
  public void onFault(String duty, Throwable fault, FaultDecision decision) {
    try {
      if (!decision.goesOn()) {
        state.beginStop();
        state.refuseRequests();
      }
      log.dutyFailed(duty, fault, decision);
    } finally {
      if (!decision.goesOn() && shutdownBegun.compareAndSet(false, true)) {
        beginShutdown();
      }
    }
  }

  private void beginShutdown() {
    try {
      steps.stopDuties();
      thread.start();
    } catch (Throwable failure) {
      processExit.exit(ProcessExit.DUTY_FAILED);
    }
  }

  private void finishShutdown() {
    try {
      steps.awaitAnswers();
      log.stopped(state.inFlight());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      processExit.exit(ProcessExit.DUTY_FAILED);
    }
  }
}
