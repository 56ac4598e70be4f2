package org.fallturn.node.gateway;

import java.util.HashSet;
import java.util.Set;
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
 * The duty that keeps contents in quarantine, and those under suspicion, in the store, on a thread
 * of its own: reads them once after the start, and writes what the dispatch duty hands over. No
 * send waits for it: a store that is away would else stop requests, and what is lost with a process
 * that ends meanwhile is what it alone had counted. What the store does not take is tried again;
 * what does not fit into the queue is handed over again later, where it is in quarantine.
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

  /** A content that the store is to hold, or no longer; with engines, as under suspicion. */
  private record Write(RequestFingerprint content, boolean held, Set<String> engines) {}

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

  /** The store is to hold a content in quarantine. */
  void put(RequestFingerprint content) {
    offer(new Write(content, true, Set.of()));
  }

  /** The store is to hold a content under suspicion. */
  void putSuspect(RequestFingerprint content, Set<String> engines) {
    offer(new Write(content, true, engines));
  }

  /** The store is to hold a content no longer. */
  void remove(RequestFingerprint content) {
    offer(new Write(content, false, Set.of()));
  }

  private void offer(Write write) {
    if (writes.contains(write)) {
      return;
    }
    writes.removeIf(earlier -> earlier.content().equals(write.content()));
    if (!writes.offer(write)) {
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

  /**
   * Rows that nobody has renewed for a lifetime are removed by whoever starts next. A content may
   * have one of each kind; both go at once.
   */
  private void recall() throws StoreException {
    Set<RequestFingerprint> live = new HashSet<>();
    Set<RequestFingerprint> lapsed = new HashSet<>();
    for (QuarantineStore.StoredContent held : store.read()) {
      if (held.ageMillis() > Quarantine.LIFETIME_MILLIS) {
        lapsed.add(held.content());
      } else {
        live.add(held.content());
        events.accept(new DispatchEvent.QuarantineLoaded(held));
      }
    }
    lapsed.removeAll(live);
    lapsed.forEach(this::remove);
  }

  private void carryOut(Write write) throws StoreException {
    if (!write.held()) {
      store.remove(write.content());
    } else if (write.engines().isEmpty()) {
      store.put(write.content());
      events.accept(new DispatchEvent.QuarantineStored(write.content()));
    } else {
      store.putSuspect(write.content(), write.engines());
    }
    String outcome = write.engines().isEmpty() ? "done" : "done, under suspicion";
    log.quarantineStored(write.content(), write.held(), outcome);
  }

  @Override
  public void close() {
    loop.close();
  }
}
