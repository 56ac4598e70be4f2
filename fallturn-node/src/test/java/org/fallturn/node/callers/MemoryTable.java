package org.fallturn.node.callers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableService;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.port.table.TransactionAnswer;

/** A table in memory that can be down and can lose answers after the write took effect. */
public final class MemoryTable implements TableService {

  private final Map<RowKey, TableRow> rows = new HashMap<>();

  /** Transactions that reached the table. */
  public final AtomicInteger transactions = new AtomicInteger();

  /** Answers still to lose after their write took effect. */
  public final AtomicInteger answersToLose = new AtomicInteger();

  /** Whether nothing reaches the table. */
  public volatile boolean down;

  @Override
  public synchronized List<TableRow> read(List<RowKey> keys) throws StoreException {
    requireUp();
    return keys.stream().map(this::row).toList();
  }

  @Override
  public synchronized List<TableRow> scan(ScanRequest request) {
    throw new UnsupportedOperationException("claims are never scanned");
  }

  @Override
  public synchronized TransactionAnswer transact(TableTransaction transaction)
      throws StoreException {
    requireUp();
    transactions.incrementAndGet();
    List<TableRow> conflicts = new ArrayList<>();
    for (RowWrite write : transaction.writes()) {
      TableRow row = row(write.key());
      if (row.version() != write.expectedVersion()) {
        conflicts.add(row);
      }
    }
    if (conflicts.isEmpty()) {
      transaction.writes().forEach(this::apply);
    }
    if (answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
      throw new StoreException("the answer was lost", true, null);
    }
    return new TransactionAnswer(conflicts.isEmpty(), conflicts);
  }

  /** Every row there is. */
  public synchronized List<TableRow> all() {
    return List.copyOf(rows.values());
  }

  private void apply(RowWrite write) {
    rows.put(write.key(), new TableRow(write.key(), write.expectedVersion() + 1, write.value()));
  }

  private TableRow row(RowKey key) {
    return rows.getOrDefault(key, new TableRow(key, TableRow.ABSENT, ""));
  }

  private void requireUp() throws StoreException {
    if (down) {
      throw new StoreException("the table is down", false, null);
    }
  }
}
