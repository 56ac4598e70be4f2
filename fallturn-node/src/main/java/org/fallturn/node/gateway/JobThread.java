package org.fallturn.node.gateway;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;

/**
 * Carries out jobs on a thread of its own, one at a time, with a pause after one that failed. A job
 * that is offered meanwhile is dropped: whoever offers it decides anew soon. Thread-safe.
 *
 * @param <T> what a job is about
 */
final class JobThread<T> implements AutoCloseable {

  private final Job<T> job;
  private final BlockingQueue<T> next = new ArrayBlockingQueue<>(1);
  private final DutyLoop loop;
  private volatile boolean working;
  private volatile long notBeforeNanos = System.nanoTime();

  /** What is done with each. */
  @FunctionalInterface
  interface Job<T> {

    /** Carries one out; may block. */
    void carryOut(T subject) throws InterruptedException;
  }

  /** A thread that has not begun. */
  JobThread(String name, Job<T> job) {
    this.job = job;
    this.loop = new DutyLoop(name, this::work);
  }

  /**
   * Begins.
   *
   * @param faults hears of jobs that failed
   */
  void start(FaultListener faults) {
    loop.start(faults);
  }

  /** Hands a job over; dropped while another is under way or during a pause. */
  void offer(T subject) {
    if (!working && System.nanoTime() - notBeforeNanos >= 0) {
      next.offer(subject);
    }
  }

  /** No job is taken for so long. */
  void pause(long nanos) {
    notBeforeNanos = System.nanoTime() + nanos;
  }

  /** Begun anew after a job that failed, until when it counts as under way. */
  private void work() throws InterruptedException {
    working = false;
    while (true) {
      T subject = next.take();
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
