package org.fallturn.node.callers;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fallturn.node.duty.DutyHandler;
import org.fallturn.node.duty.DutyThread;

/**
 * The requests in progress, looked at every tick by one duty thread, so that none outlives its
 * deadline and no silent engine goes unnoticed. Thread-safe.
 */
final class InFlightRequests implements AutoCloseable {

  private static final Duration TICK = Duration.ofMillis(20);
  private static final int RING_SIZE = 2;

  /** A request in progress. */
  interface TimedRequest {
    /** Checks deadlines. Called on the duty thread; must not block. */
    void onTick(long nowNanos);
  }

  private final Set<TimedRequest> requests = ConcurrentHashMap.newKeySet();
  private final DutyThread<Object> duty;

  InFlightRequests() {
    duty = new DutyThread<>("callers-deadlines", RING_SIZE, TICK, new TickHandler());
  }

  void start() {
    duty.start();
  }

  void add(TimedRequest request) {
    requests.add(request);
  }

  void remove(TimedRequest request) {
    requests.remove(request);
  }

  int size() {
    return requests.size();
  }

  @Override
  public void close() {
    duty.close();
  }

  /** Passes the tick on. */
  private final class TickHandler implements DutyHandler<Object> {

    @Override
    public void onEvent(Object event) {
      // Nothing is ever offered to this duty; it only ticks.
    }

    @Override
    public void onTick() {
      long nowNanos = System.nanoTime();
      for (TimedRequest request : requests) {
        request.onTick(nowNanos);
      }
    }
  }
}
