package org.fallturn.rehearsal.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.port.table.TransactionAnswer;

/**
 * Rows in memory with serialisable transactions. A deleted row keeps its last version, so that a
 * row created anew never repeats a version. Any thread may call.
 */
public final class TableStore {

  private final Map<String, NavigableMap<String, StoredRow>> tables = new HashMap<>();

  /** A row; a null value stands for a deleted one. */
  private record StoredRow(long version, String value) {}

  /** Reads rows; absent ones have version 0. */
  public synchronized List<TableRow> read(List<RowKey> keys) {
    return keys.stream().map(this::row).toList();
  }

  /** Reads rows in key order. */
  public synchronized List<TableRow> scan(ScanRequest request) {
    List<TableRow> rows = new ArrayList<>();
    var table = tables.getOrDefault(request.table(), new TreeMap<>());
    for (var entry : table.tailMap(request.afterKey(), false).entrySet()) {
      if (rows.size() >= request.limit()) {
        break;
      }
      StoredRow row = entry.getValue();
      if (row.value() != null) {
        rows.add(
            new TableRow(new RowKey(request.table(), entry.getKey()), row.version(), row.value()));
      }
    }
    return rows;
  }

  /** Applies all writes when each row has its expected version, otherwise none. */
  public synchronized TransactionAnswer transact(TableTransaction transaction) {
    requireDistinctKeys(transaction);
    List<TableRow> conflicts = new ArrayList<>();
    for (RowWrite write : transaction.writes()) {
      TableRow row = row(write.key());
      if (row.version() != write.expectedVersion()) {
        conflicts.add(row);
      }
    }
    if (!conflicts.isEmpty()) {
      return new TransactionAnswer(false, conflicts);
    }
    transaction.writes().forEach(this::apply);
    return new TransactionAnswer(true, List.of());
  }

  private static void requireDistinctKeys(TableTransaction transaction) {
    Set<RowKey> keys = new HashSet<>();
    for (RowWrite write : transaction.writes()) {
      if (!keys.add(write.key())) {
        throw new IllegalArgumentException("two writes of one row: " + write.key());
      }
    }
  }

  private void apply(RowWrite write) {
    var table = tables.computeIfAbsent(write.key().table(), name -> new TreeMap<>());
    StoredRow old = table.get(write.key().key());
    long version = old == null ? 1 : old.version() + 1;
    table.put(write.key().key(), new StoredRow(version, write.value()));
  }

  private TableRow row(RowKey key) {
    var table = tables.get(key.table());
    StoredRow row = table == null ? null : table.get(key.key());
    if (row == null || row.value() == null) {
      return new TableRow(key, TableRow.ABSENT, "");
    }
    return new TableRow(key, row.version(), row.value());
  }
}
