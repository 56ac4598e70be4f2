package org.fallturn.node.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fallturn.core.idempotency.ClaimRow;
import org.fallturn.core.idempotency.ClaimRowCodec;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableService;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.port.table.TransactionAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends of claims that wait to be written, oldest first and bounded: past the bound the oldest is
 * dropped, and a retry of that request gets outcome-unknown. All but {@link #size()} on the claim
 * duty's thread only.
 */
final class SettlementQueue {

  private static final Logger LOG = LoggerFactory.getLogger(SettlementQueue.class);
  private static final int MAX_WAITING = 2048;
  private static final int MAX_IN_BATCH = 64;
  private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final TableService table;
  private final ClaimRowCodec codec;
  private final Deque<Settlement> waiting = new ArrayDeque<>();
  private final AtomicInteger size = new AtomicInteger();
  private long pausedUntilNanos = System.nanoTime();

  SettlementQueue(TableService table, ClaimRowCodec codec) {
    this.table = table;
    this.codec = codec;
  }

  /** Ends that wait; any thread may ask. */
  int size() {
    return size.get();
  }

  void add(Settlement settlement) {
    if (waiting.size() >= MAX_WAITING) {
      waiting.removeFirst();
      LOG.warn("claims: Too many ends of claims wait for the table; the oldest is dropped.");
    }
    waiting.addLast(settlement);
    size.set(waiting.size());
  }

  /** Writes what waits, until the table fails. */
  void flush() {
    while (!waiting.isEmpty() && System.nanoTime() - pausedUntilNanos >= 0) {
      List<Settlement> batch = takeBatch();
      try {
        write(batch);
      } catch (StoreException e) {
        LOG.debug("claims: Ends of claims wait: {}.", e.getMessage());
        pausedUntilNanos = System.nanoTime() + PAUSE_AFTER_FAILURE_NANOS;
        batch.forEach(waiting::addFirst);
      }
      size.set(waiting.size());
    }
  }

  private List<Settlement> takeBatch() {
    List<Settlement> batch = new ArrayList<>();
    while (batch.size() < MAX_IN_BATCH && !waiting.isEmpty()) {
      batch.add(waiting.removeFirst());
    }
    return batch;
  }

  /** Writes a batch; rows that are no longer the claims they were are left as they are. */
  private void write(List<Settlement> batch) throws StoreException {
    List<Settlement> left = new ArrayList<>(batch);
    while (!left.isEmpty()) {
      TransactionAnswer answer = table.transact(transaction(left));
      if (answer.committed()) {
        return;
      }
      Set<RowKey> conflicts = new HashSet<>();
      answer.conflicts().forEach(row -> conflicts.add(row.key()));
      for (TableRow row : answer.conflicts()) {
        warnUnlessWritten(left, row);
      }
      left.removeIf(settlement -> conflicts.contains(settlement.key()));
    }
  }

  private TableTransaction transaction(List<Settlement> settlements) {
    List<RowWrite> writes =
        settlements.stream()
            .map(one -> new RowWrite(one.key(), one.expectedVersion(), codec.encode(one.row())))
            .toList();
    return new TableTransaction(writes);
  }

  /** A conflict with our own state is an earlier write whose answer was lost. */
  private void warnUnlessWritten(List<Settlement> batch, TableRow row) {
    Optional<ClaimRow> found = codec.decode(row);
    for (Settlement settlement : batch) {
      boolean same =
          found.isPresent()
              && found.get().attemptId().equals(settlement.row().attemptId())
              && found.get().state() == settlement.row().state();
      if (settlement.key().equals(row.key()) && !same) {
        LOG.warn("claims: Row {} is no longer the claim it was.", row.key().key());
      }
    }
  }
}
