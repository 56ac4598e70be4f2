package org.fallturn.node.gateway;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out jobs on a thread of its own, one at a time, with a pause after one that failed. A job
 * that is offered meanwhile is dropped: whoever offers it decides anew soon. Thread-safe.
 *
 * @param <T> what a job is about
 */
final class JobThread<T> implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(JobThread.class);

  /** A fault that comes again at once would fill the log. */
  private static final long PAUSE_AFTER_FAULT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Job<T> job;
  private final BlockingQueue<T> next = new ArrayBlockingQueue<>(1);
  private final Thread thread;
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
    this.thread = new Thread(this::work, name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
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

  private void work() {
    try {
      while (true) {
        T subject = next.take();
        working = true;
        carryOut(subject);
        working = false;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A fault of one job does not end the duty. */
  private void carryOut(T subject) throws InterruptedException {
    try {
      job.carryOut(subject);
    } catch (RuntimeException e) {
      LOG.error("duties: {} failed with {}.", thread.getName(), subject, e);
      pause(PAUSE_AFTER_FAULT_NANOS);
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
