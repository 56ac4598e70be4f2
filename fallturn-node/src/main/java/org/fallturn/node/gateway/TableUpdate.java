package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;

/**
 * What one node tells another of a table: the whole of it, or what has changed since a position
 * that the other names. Nodes of builds that know no positions ask for the whole table and tell it
 * whatever they are asked, without keys; so where keys are absent, the rows are all rows.
 *
 * @param rows the rows, or those written after the position
 * @param version the position that they hold at
 * @param keys of all rows that are there; null in a whole table
 */
record TableUpdate(List<FeedRow> rows, long version, List<String> keys) {

  /** A missing list of rows is none. */
  TableUpdate {
    rows = rows == null ? List.of() : List.copyOf(rows);
  }

  /** Roughly how long it is as a message, and never more than that; costs no encoding. */
  int leastBytes() {
    int bytes = rows.stream().mapToInt(row -> row.key().length() + row.value().length()).sum();
    return keys == null ? bytes : bytes + keys.stream().mapToInt(String::length).sum();
  }

  /** The whole table. */
  static TableUpdate whole(FeedAnswer table) {
    return new TableUpdate(table.rows(), table.version(), null);
  }

  /** What has changed in a table since a position. */
  static TableUpdate since(long position, FeedAnswer table) {
    List<FeedRow> changed = table.rows().stream().filter(row -> row.version() > position).toList();
    List<String> all = table.rows().stream().map(FeedRow::key).toList();
    return new TableUpdate(changed, table.version(), all);
  }

  /**
   * The whole table, where this is the whole table or it follows from the one that is known.
   *
   * @param known the table at the position that was named
   * @return empty when a row is there that neither tells
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
