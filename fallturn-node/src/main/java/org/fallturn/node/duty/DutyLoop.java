package org.fallturn.node.duty;

import java.util.concurrent.TimeUnit;

/**
 * Runs a duty in a thread of its own and restarts it after each fault, with exponential backoff, as
 * long as the {@link FaultPolicy} allows it.
 */
public final class DutyLoop implements AutoCloseable {

  private final String name;
  private final Body body;
  private final Thread thread;
  private DutyFaultHandler faultHandler;
  private volatile boolean closed;

  /** The code that the loop runs and restarts. */
  @FunctionalInterface
  public interface Body {

    /** Runs until the thread is interrupted or no work is left; a return ends the loop. */
    void run() throws InterruptedException;
  }

  /**
   * Creates the loop; {@link #start} starts its thread.
   *
   * @param name name of the duty and of its thread
   * @param body the code to run
   */
  public DutyLoop(String name, Body body) {
    this.name = name;
    this.body = body;
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /**
   * Starts the thread.
   *
   * @param faults receives the faults that the body does not catch, and those it passes to {@link
   *     #onCaught}
   */
  public void start(FaultListener faults) {
    faultHandler = new DutyFaultHandler(name, DutyState.LEARNED_AGAIN, faults);
    thread.start();
  }

  /**
   * Reports an exception that the body caught itself. The body continues without a pause. Must be
   * called on the duty's thread.
   *
   * @param fault the exception that was caught
   */
  public void onCaught(Exception fault) {
    faultHandler.onFault(fault);
  }

  private void run() {
    try {
      boolean restart = true;
      while (restart) {
        restart = runOnce();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs the body once; returns whether it failed and must be restarted. */
  private boolean runOnce() throws InterruptedException {
    try {
      body.run();
      return false;
    } catch (InterruptedException e) {
      throw e;
    } catch (Throwable fault) {
      if (closed) {
        return false;
      }
      FaultDecision decision = faultHandler.onFault(fault);
      TimeUnit.NANOSECONDS.sleep(decision.pauseNanos());
      return decision.goesOn();
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
