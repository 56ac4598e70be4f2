package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.StorePosition;

/**
 * An answer of one node to another about a table: the whole table, or its changes since a position
 * that the requester names. Older builds know no positions: they request the whole table, and
 * answer every request with the whole table and without keys. So if keys are absent, the rows are
 * all rows. A build that knows no eras sends none, so that its rows count as of the earliest era.
 *
 * @param rows all rows, or those written after the position
 * @param version the version of the store that the update reaches
 * @param keys the keys of all rows that the table has at that version; null in a whole table
 * @param era the era of the store to which the versions belong; 0 for none
 */
record TableUpdate(List<Row> rows, long version, List<String> keys, Long era) {

  /**
   * A row in a message.
   *
   * @param version version of the store at which the row was last written
   */
  record Row(String key, long version, String value, boolean gone) {

    private static Row of(FeedRow row) {
      return new Row(row.key(), row.position().version(), row.value(), row.gone());
    }
  }

  /** Takes a missing list of rows as an empty one, and a missing era as none. */
  TableUpdate {
    rows = rows == null ? List.of() : List.copyOf(rows);
    era = era == null ? 0 : era;
  }

  /** A lower bound of the encoded size, from the lengths of keys and values; encodes nothing. */
  int minBytes() {
    int bytes = rows.stream().mapToInt(row -> row.key().length() + row.value().length()).sum();
    return keys == null ? bytes : bytes + keys.stream().mapToInt(String::length).sum();
  }

  /** The whole table. */
  static TableUpdate whole(FeedAnswer table) {
    return of(table, table.rows(), null);
  }

  /** The changes of a table since a version of its era. */
  static TableUpdate since(long version, FeedAnswer table) {
    List<FeedRow> changed =
        table.rows().stream().filter(row -> row.position().version() > version).toList();
    List<String> all = table.rows().stream().map(FeedRow::key).toList();
    return of(table, changed, all);
  }

  private static TableUpdate of(FeedAnswer table, List<FeedRow> rows, List<String> keys) {
    StorePosition position = table.position();
    return new TableUpdate(
        rows.stream().map(Row::of).toList(), position.version(), keys, position.era());
  }

  /** The position in the store's history that the update reaches. */
  StorePosition position() {
    return new StorePosition(era, version);
  }

  /** The rows of this update alone, as a whole table. */
  FeedAnswer asWholeTable() {
    return new FeedAnswer(rows.stream().map(this::feedRow).toList(), position());
  }

  private FeedRow feedRow(Row row) {
    return new FeedRow(row.key(), position().atVersion(row.version()), row.value(), row.gone());
  }

  /**
   * Applies this update to a known table.
   *
   * @param known the table at the position that the request named
   * @return the whole table; empty when it has a row that neither this update nor the known table
   *     holds, or when the known table is of another era
   */
  Optional<FeedAnswer> appliedTo(FeedAnswer known) {
    if (keys == null) {
      return Optional.of(asWholeTable());
    }
    if (!position().isAfter(known.position())) {
      return Optional.of(known);
    }
    if (position().isOfLaterEraThan(known.position())) {
      return Optional.empty();
    }
    Map<String, FeedRow> newest = new TreeMap<>();
    known.rows().forEach(row -> newest.put(row.key(), row));
    rows.forEach(row -> newest.put(row.key(), feedRow(row)));
    List<FeedRow> all = new ArrayList<>();
    for (String key : keys) {
      FeedRow row = newest.get(key);
      if (row == null) {
        return Optional.empty();
      }
      all.add(row);
    }
    return Optional.of(new FeedAnswer(all, position()));
  }
}
