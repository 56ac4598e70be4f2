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
 * The duty that stores the contents in quarantine and those under suspicion, on a thread of its
 * own. It reads them once after the start, and writes what the dispatch duty hands over.
 *
 * <p>No request waits for a write, since an unavailable store would then stop requests. A process
 * that ends before a write loses only what it alone had counted. The duty retries a failed write; a
 * quarantined content that does not fit into the queue is handed over again later.
 */
final class QuarantineDuty implements AutoCloseable {

  private static final int QUEUE_SIZE = 64;

  /** First pause after a failure; doubles up to the longest, since each call has its price. */
  private static final long FIRST_PAUSE_MILLIS = 200;

  private static final long LONGEST_PAUSE_MILLIS = 2_000;

  private final QuarantineStore store;
  private final Consumer<DispatchEvent> events;
  private final DecisionLog log;
  private final BlockingQueue<Write> writes = new ArrayBlockingQueue<>(QUEUE_SIZE);
  private final DutyLoop loop = new DutyLoop("quarantine", this::work);
  private boolean loaded;
  private long pauseMillis = FIRST_PAUSE_MILLIS;

  /**
   * A write to the store.
   *
   * @param held whether the store is to hold the content, or to remove it
   * @param engines engines that crashed under a suspected content; empty for one in quarantine
   */
  private record Write(RequestFingerprint content, boolean held, Set<String> engines) {

    /** A removal concerns both rows that a content may have, any other write one of them. */
    boolean replaces(Write earlier) {
      boolean sameRow = engines.isEmpty() == earlier.engines.isEmpty();
      return content.equals(earlier.content) && (!held || earlier.held && sameRow);
    }
  }

  /** A call to the store that may fail. */
  @FunctionalInterface
  private interface StoreCall {

    void run() throws StoreException;
  }

  /**
   * A duty that has not started.
   *
   * @param events hands to the dispatch duty what the store holds
   */
  QuarantineDuty(QuarantineStore store, Consumer<DispatchEvent> events, DecisionLog log) {
    this.store = store;
    this.events = events;
    this.log = log;
  }

  /**
   * Starts the thread.
   *
   * @param faults receives what the duty does not catch
   */
  void start(FaultListener faults) {
    loop.start(faults);
  }

  /** Queues a write that stores a content as quarantined. */
  void put(RequestFingerprint content) {
    offer(new Write(content, true, Set.of()));
  }

  /** Queues a write that stores a content as suspected of crashing these engines. */
  void putSuspect(RequestFingerprint content, Set<String> engines) {
    offer(new Write(content, true, engines));
  }

  /** Queues the removal of a content from the store. */
  void remove(RequestFingerprint content) {
    offer(new Write(content, false, Set.of()));
  }

  private void offer(Write write) {
    if (writes.contains(write)) {
      return;
    }
    writes.removeIf(write::replaces);
    if (!writes.offer(write)) {
      log.quarantineStored(write.content(), write.held(), "too many wait");
    }
  }

  /** The loop calls this again after a fault; the write that failed is handed over again later. */
  private void work() throws InterruptedException {
    if (!loaded) {
      retryUntilDone("quarantine", this::load);
      loaded = true;
    }
    while (true) {
      Write write = writes.take();
      retryUntilDone("quarantine", () -> carryOut(write));
    }
  }

  private void retryUntilDone(String name, StoreCall call) throws InterruptedException {
    pauseMillis = FIRST_PAUSE_MILLIS;
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
   * Reads what the store holds, and removes the rows that no node has renewed for a lifetime; each
   * node does so at its start. A content may have a row as quarantined and one as suspected. A
   * removal deletes both, so a content with one row that still counts is not removed.
   */
  private void load() throws StoreException {
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
