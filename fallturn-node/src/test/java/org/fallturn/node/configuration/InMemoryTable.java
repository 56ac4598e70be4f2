package org.fallturn.node.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fallturn.core.port.objectstore.ObjectStore;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableService;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.port.table.TransactionAnswer;

/** Table service and object store in memory, shared by the nodes of a test. Thread-safe. */
public final class InMemoryTable implements TableService, ObjectStore {

  private final Map<String, TreeMap<String, TableRow>> tables = new HashMap<>();
  private final Map<String, byte[]> objects = new HashMap<>();
  private boolean down;
  private int scannedRows;

  /** Makes every call fail without effect, or lets them pass again. */
  public synchronized void setDown(boolean isDown) {
    down = isDown;
  }

  /** Rows handed out by scans so far. */
  public synchronized int scannedRows() {
    return scannedRows;
  }

  @Override
  public synchronized List<TableRow> read(List<RowKey> keys) throws StoreException {
    requireUp();
    return keys.stream().map(this::row).toList();
  }

  @Override
  public synchronized List<TableRow> scan(ScanRequest request) throws StoreException {
    requireUp();
    List<TableRow> rows =
        tableOf(request.table()).tailMap(request.afterKey(), false).values().stream()
            .limit(request.limit())
            .toList();
    scannedRows += rows.size();
    return rows;
  }

  @Override
  public synchronized TransactionAnswer transact(TableTransaction transaction)
      throws StoreException {
    requireUp();
    List<TableRow> conflicts = new ArrayList<>();
    for (RowWrite write : transaction.writes()) {
      TableRow current = row(write.key());
      if (current.version() != write.expectedVersion()) {
        conflicts.add(current);
      }
    }
    if (!conflicts.isEmpty()) {
      return new TransactionAnswer(false, conflicts);
    }
    for (RowWrite write : transaction.writes()) {
      TableRow next = new TableRow(write.key(), write.expectedVersion() + 1, write.value());
      tableOf(write.key().table()).put(write.key().key(), next);
    }
    return new TransactionAnswer(true, List.of());
  }

  @Override
  public synchronized void put(String name, byte[] content) throws StoreException {
    requireUp();
    objects.put(name, content);
  }

  @Override
  public synchronized Optional<byte[]> get(String name) throws StoreException {
    requireUp();
    return Optional.ofNullable(objects.get(name));
  }

  private TableRow row(RowKey key) {
    TableRow absent = new TableRow(key, TableRow.ABSENT, "");
    return tableOf(key.table()).getOrDefault(key.key(), absent);
  }

  private TreeMap<String, TableRow> tableOf(String name) {
    return tables.computeIfAbsent(name, key -> new TreeMap<>());
  }

  private void requireUp() throws StoreException {
    if (down) {
      throw new StoreException("the store is down", false, null);
    }
  }
}
