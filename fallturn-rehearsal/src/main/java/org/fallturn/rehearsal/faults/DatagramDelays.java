package org.fallturn.rehearsal.faults;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Datagrams that wait for their delay; beyond the bound they are lost. Thread-safe. */
final class DatagramDelays implements AutoCloseable {

  private static final int MAX_WAITING = 4_096;

  private final ScheduledThreadPoolExecutor timer =
      new ScheduledThreadPoolExecutor(1, FaultThreads::unstarted);

  void run(long delayMillis, Runnable send) {
    if (delayMillis == 0) {
      send.run();
    } else if (timer.getQueue().size() < MAX_WAITING) {
      try {
        timer.schedule(send, delayMillis, TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException e) {
        // The link is closed, so the datagram is lost like any other on its way.
        return;
      }
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
