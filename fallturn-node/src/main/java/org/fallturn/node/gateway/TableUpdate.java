package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;

/**
 * An answer of one node to another about a table: the whole table, or its changes since a position
 * that the requester names. Older builds know no positions: they request the whole table, and
 * answer every request with the whole table and without keys. So if keys are absent, the rows are
 * all rows.
 *
 * @param rows all rows, or those written after the position
 * @param version the position in the store's history that the update reaches
 * @param keys the keys of all rows that the table has at that position; null in a whole table
 */
record TableUpdate(List<FeedRow> rows, long version, List<String> keys) {

  /** Takes a missing list of rows as an empty one. */
  TableUpdate {
    rows = rows == null ? List.of() : List.copyOf(rows);
  }

  /** A lower bound of the encoded size, from the lengths of keys and values; encodes nothing. */
  int minBytes() {
    int bytes = rows.stream().mapToInt(row -> row.key().length() + row.value().length()).sum();
    return keys == null ? bytes : bytes + keys.stream().mapToInt(String::length).sum();
  }

  /** The whole table. */
  static TableUpdate whole(FeedAnswer table) {
    return new TableUpdate(table.rows(), table.version(), null);
  }

  /** The changes of a table since a position. */
  static TableUpdate since(long position, FeedAnswer table) {
    List<FeedRow> changed = table.rows().stream().filter(row -> row.version() > position).toList();
    List<String> all = table.rows().stream().map(FeedRow::key).toList();
    return new TableUpdate(changed, table.version(), all);
  }

  /**
   * Applies this update to a known table.
   *
   * @param known the table at the position that the request named
   * @return the whole table; empty when it has a row that neither this update nor the known table
   *     holds
   */
  Optional<FeedAnswer> appliedTo(FeedAnswer known) {
    if (keys == null) {
      return Optional.of(new FeedAnswer(rows, version));
    }
    if (version <= known.version()) {
      return Optional.of(known);
    }
    Map<String, FeedRow> newest = new TreeMap<>();
    known.rows().forEach(row -> newest.put(row.key(), row));
    rows.forEach(row -> newest.put(row.key(), row));
    List<FeedRow> all = new ArrayList<>();
    for (String key : keys) {
      FeedRow row = newest.get(key);
      if (row == null) {
        return Optional.empty();
      }
      all.add(row);
    }
    return Optional.of(new FeedAnswer(all, version));
  }
}
