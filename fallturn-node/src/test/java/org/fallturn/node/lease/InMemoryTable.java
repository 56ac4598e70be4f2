package org.fallturn.node.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableService;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.port.table.TransactionAnswer;

/** A table in memory that can be down, or lose the answers of writes that took effect. */
final class InMemoryTable implements TableService {

  private final Map<String, TableRow> rows = new TreeMap<>();
  private boolean down;
  private int answersToLose;

  synchronized void down(boolean isDown) {
    down = isDown;
  }

  synchronized void loseAnswers(int count) {
    answersToLose = count;
  }

  @Override
  public synchronized List<TableRow> read(List<RowKey> keys) throws StoreException {
    requireUp();
    return keys.stream().map(this::row).toList();
  }

  @Override
  public synchronized List<TableRow> scan(ScanRequest request) throws StoreException {
    requireUp();
    return rows.values().stream().filter(r -> r.key().table().equals(request.table())).toList();
  }

  @Override
  public synchronized TransactionAnswer transact(TableTransaction transaction)
      throws StoreException {
    requireUp();
    List<TableRow> conflicts = new ArrayList<>();
    Map<String, TableRow> written = new HashMap<>();
    for (RowWrite write : transaction.writes()) {
      TableRow present = row(write.key());
      if (present.version() != write.expectedVersion()) {
        conflicts.add(present);
      }
      written.put(
          name(write.key()), new TableRow(write.key(), present.version() + 1, write.value()));
    }
    if (!conflicts.isEmpty()) {
      return new TransactionAnswer(false, conflicts);
    }
    rows.putAll(written);
    if (answersToLose > 0) {
      answersToLose--;
      throw new StoreException("answer lost", true, null);
    }
    return new TransactionAnswer(true, List.of());
  }

  private void requireUp() throws StoreException {
    if (down) {
      throw new StoreException("down", true, null);
    }
  }

  private TableRow row(RowKey key) {
    return rows.getOrDefault(name(key), new TableRow(key, TableRow.ABSENT, ""));
  }

  private static String name(RowKey key) {
    return key.table() + "/" + key.key();
  }
}
