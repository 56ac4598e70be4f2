package org.fallturn.node.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Lets one thread wait for something that others learn, without looking for it time and again.
 * Thread-safe.
 */
final class ChangeSignal implements RowFollower.Pause {

  /** Something was learned: whoever waits looks again whether it is what it waits for. */
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
