package org.fallturn.node.callers;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the tasks of one request one after another, in order, on whichever thread brings them. A
 * task brought while another runs, also by that one, runs after it. A task that fails is logged and
 * the next one runs: a request whose step failed is ended by its deadline. Never blocks.
 */
final class SerialExecutor implements Executor {

  private static final Logger LOG = LoggerFactory.getLogger(SerialExecutor.class);

  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final AtomicInteger pending = new AtomicInteger();

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
    if (pending.getAndIncrement() != 0) {
      return;
    }
    do {
      run(tasks.poll());
    } while (pending.decrementAndGet() != 0);
  }

  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      LOG.error("callers: A step of a request failed.", e);
    }
  }
}
