package org.fallturn.node.gateway;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.quarantine.Quarantine;
import org.fallturn.core.quarantine.QuarantineStore;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.node.duty.DutyLoop;
import org.fallturn.node.duty.FaultListener;

/**
 * The duty that keeps contents in quarantine in the store, on a thread of its own: reads them once
 * after the start, and writes what the dispatch duty hands over. What the store does not take is
 * tried again; what does not fit into the queue is handed over again later.
 */
final class QuarantineDuty implements AutoCloseable {

  private static final int QUEUE_SIZE = 64;

  /** First pause after a failure; doubled up to the longest, as each call has its price. */
  private static final long PAUSE_MILLIS = 200;

  private static final long LONGEST_PAUSE_MILLIS = 2_000;

  private final QuarantineStore store;
  private final Consumer<DispatchEvent> events;
  private final DecisionLog log;
  private final BlockingQueue<Write> writes = new ArrayBlockingQueue<>(QUEUE_SIZE);
  private final DutyLoop loop = new DutyLoop("quarantine", this::work);
  private boolean recalled;
  private long pauseMillis = PAUSE_MILLIS;

  /** A content that the store is to hold, or no longer. */
  private record Write(RequestFingerprint content, boolean held) {}

  /** One call to the store. */
  @FunctionalInterface
  private interface StoreCall {

    void run() throws StoreException;
  }

  /**
   * A duty that has not begun.
   *
   * @param events told of what the store holds
   */
  QuarantineDuty(QuarantineStore store, Consumer<DispatchEvent> events, DecisionLog log) {
    this.store = store;
    this.events = events;
    this.log = log;
  }

  /**
   * Begins.
   *
   * @param faults hears of what the duty does not catch
   */
  void start(FaultListener faults) {
    loop.start(faults);
  }

  /** The store is to hold a content. */
  void put(RequestFingerprint content) {
    offer(new Write(content, true));
  }

  /** The store is to hold a content no longer. */
  void remove(RequestFingerprint content) {
    offer(new Write(content, false));
  }

  private void offer(Write write) {
    if (!writes.contains(write) && !writes.offer(write)) {
      log.quarantineStored(write.content(), write.held(), "too many wait");
    }
  }

  /** Begun anew after a fault; the write that failed is handed over again later. */
  private void work() throws InterruptedException {
    if (!recalled) {
      untilDone("quarantine", this::recall);
      recalled = true;
    }
    while (true) {
      Write write = writes.take();
      untilDone("quarantine", () -> carryOut(write));
    }
  }

  private void untilDone(String name, StoreCall call) throws InterruptedException {
    pauseMillis = PAUSE_MILLIS;
    boolean lost = false;
    while (true) {
      try {
        call.run();
        if (lost) {
          log.dependencyRegained(name);
        }
        return;
      } catch (StoreException e) {
        if (!lost) {
          log.dependencyLost(name, e);
        }
        lost = true;
        TimeUnit.MILLISECONDS.sleep(pauseMillis);
        pauseMillis = Math.min(2 * pauseMillis, LONGEST_PAUSE_MILLIS);
      }
    }
  }

  /** Rows that nobody has renewed for a lifetime are removed by whoever starts next. */
  private void recall() throws StoreException {
    for (QuarantineStore.Held held : store.read()) {
      if (held.ageMillis() > Quarantine.LIFETIME_MILLIS) {
        remove(held.content());
      } else {
        events.accept(new DispatchEvent.QuarantineRecalled(held.content(), held.ageMillis()));
      }
    }
  }

  private void carryOut(Write write) throws StoreException {
    if (write.held()) {
      store.put(write.content());
      events.accept(new DispatchEvent.QuarantineStored(write.content()));
    } else {
      store.remove(write.content());
    }
    log.quarantineStored(write.content(), write.held(), "done");
  }

  @Override
  public void close() {
    loop.close();
  }
}
