package org.fallturn.node.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A condition that the thread of a table follower waits on until another thread signals a change,
 * so that it need not poll. Thread-safe.
 */
final class ChangeSignal implements RowFollower.Pause {

  /** Wakes all waiting threads; each checks its own condition again. */
  synchronized void signal() {
    notifyAll();
  }

  @Override
  public synchronized void await(long millis, BooleanSupplier until) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (!until.getAsBoolean()) {
      long leftMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      if (leftMillis <= 0) {
        return;
      }
      wait(leftMillis);
    }
  }
}
