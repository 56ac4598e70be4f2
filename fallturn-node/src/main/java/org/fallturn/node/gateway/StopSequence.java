package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The steps by which a node stops serving, until the process may end. One thread runs them.
 *
 * <p>Invariant: requests that are left shortly before the end are answered, or broken off visibly;
 * none is left to the end of the process.
 */
final class StopSequence {

  private static final long CHECK_MILLIS = 20;

  private final GatewayState state;
  private final Forwarding forwarding;
  private final Runnable refuseNewRequests;
  private final Supplier<StopTimes> times;
  private final CountDownLatch started = new CountDownLatch(1);

  /**
   * A sequence that has not begun.
   *
   * @param refuseNewRequests refuses requests that come from then on; may be called again
   * @param linger how long new requests are still taken
   * @param within how long a stop may take
   */
  StopSequence(
      GatewayState state,
      Forwarding forwarding,
      Runnable refuseNewRequests,
      Duration linger,
      Duration within) {
    this.state = state;
    this.forwarding = forwarding;
    this.refuseNewRequests = refuseNewRequests;
    this.times = () -> StopTimes.of(System.nanoTime(), linger, within);
  }

  /** The node has started: there is something to stop. */
  void onStarted() {
    started.countDown();
  }

  /**
   * Begins a planned stop, and waits for the end of a start that is under way: callers are served
   * before it has ended. Returns when the steps of the stop are due.
   */
  StopTimes begin() throws InterruptedException {
    StopTimes begun = times.get();
    state.beginStop(begun.answersEnd());
    started.await(begun.answersEnd() - System.nanoTime(), TimeUnit.NANOSECONDS);
    return begun;
  }

  /** Returns when every request has ended, or when the process has to end. */
  void finish(StopTimes begun) throws InterruptedException {
    while (!begun.over(System.nanoTime())) {
      if (begun.lingered(System.nanoTime())) {
        refuseNewRequests.run();
        if (state.inFlight() == 0) {
          break;
        }
      }
      endForwarded(begun);
      TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
    }
  }

  /**
   * Waits, after a fault that ends the node, until the platform has seen that it is not ready and
   * running answers have ended, at most as long as a planned stop takes.
   */
  void awaitAnswers() throws InterruptedException {
    StopTimes begun = times.get();
    while (!begun.over(System.nanoTime())
        && (state.inFlight() > 0 || !begun.lingered(System.nanoTime()))) {
      endForwarded(begun);
      TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
    }
  }

  private void endForwarded(StopTimes begun) {
    long now = System.nanoTime();
    if (begun.endsRepeatableForwarded(now)) {
      forwarding.endForStop(begun.endsAll(now));
    }
  }
}
