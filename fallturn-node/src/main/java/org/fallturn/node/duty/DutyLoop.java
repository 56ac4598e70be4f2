package org.fallturn.node.duty;

import java.util.concurrent.TimeUnit;

/**
 * A thread whose duty is started anew after a fault, with a pause that grows, for as long as the
 * policy lets it.
 */
public final class DutyLoop implements AutoCloseable {

  private final String name;
  private final Body body;
  private final Thread thread;
  private DutyFaultHandler guard;
  private volatile boolean closed;

  /** The duty. */
  @FunctionalInterface
  public interface Body {

    /** Goes on until it is interrupted or has nothing left to do. */
    void run() throws InterruptedException;
  }

  /** A duty that has not begun. */
  public DutyLoop(String name, Body body) {
    this.name = name;
    this.body = body;
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /**
   * Begins.
   *
   * @param faults hears of what the duty does not catch
   */
  public void start(FaultListener faults) {
    guard = new DutyFaultHandler(name, DutyState.LEARNED_AGAIN, faults);
    thread.start();
  }

  /**
   * The duty has caught an exception itself and goes on without a pause; on its own thread.
   *
   * @param fault what was caught
   */
  public void onCaught(Exception fault) {
    guard.onFault(fault);
  }

  private void run() {
    try {
      boolean again = true;
      while (again) {
        again = runOnce();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Whether the duty failed and is to be started anew. */
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
      FaultDecision answer = guard.onFault(fault);
      TimeUnit.NANOSECONDS.sleep(answer.pauseNanos());
      return answer.goesOn();
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
