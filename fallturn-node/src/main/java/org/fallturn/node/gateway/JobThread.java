package org.fallturn.node.gateway;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;

/**
 * Runs jobs on a thread of its own, one at a time, with a pause after one that failed. Drops a job
 * that is offered meanwhile, since its caller decides again soon what to offer. Thread-safe.
 *
 * @param <T> subject of a job
 */
final class JobThread<T> implements AutoCloseable {

  private final Job<T> job;
  private final BlockingQueue<T> queue = new ArrayBlockingQueue<>(1);
  private final DutyLoop loop;
  private volatile boolean working;
  private volatile long notBeforeNanos = System.nanoTime();

  /** Processes one subject. */
  @FunctionalInterface
  interface Job<T> {

    /** Runs the job; may block. */
    void carryOut(T subject) throws InterruptedException;
  }

  /**
   * A thread that has not started.
   *
   * @param name name of the thread and of the duty
   */
  JobThread(String name, Job<T> job) {
    this.job = job;
    this.loop = new DutyLoop(name, this::work);
  }

  /**
   * Starts the thread.
   *
   * @param faults receives what a job throws
   */
  void start(FaultListener faults) {
    loop.start(faults);
  }

  /** Offers a job; it is dropped while another one runs or during a pause. */
  void offer(T subject) {
    if (!working && System.nanoTime() - notBeforeNanos >= 0) {
      queue.offer(subject);
    }
  }

  /**
   * Drops all offers for a time.
   *
   * @param nanos length of the pause in ns
   */
  void pause(long nanos) {
    notBeforeNanos = System.nanoTime() + nanos;
  }

  /** The loop calls this again after a job that threw, which counts as running until then. */
  private void work() throws InterruptedException {
    working = false;
    while (true) {
      T subject = queue.take();
      working = true;
      job.carryOut(subject);
      working = false;
    }
  }

  @Override
  public void close() {
    loop.close();
  }
}
