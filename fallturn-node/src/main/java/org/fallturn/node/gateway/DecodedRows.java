package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Decodes the rows of a table and caches the result by key and row position. So a change of one
 * engine does not decode the rows of all others again, and a row that cannot be decoded is logged
 * once per position. The cache holds no more rows than the table. Not thread-safe: a single thread
 * calls it.
 *
 * @param <T> type of a decoded row
 */
final class DecodedRows<T> {

  private final String table;
  private final RowDecoder<T> decoder;
  private final DecisionLog log;
  private Map<String, Decoded<T>> decodedByKey = Map.of();

  /** A decoded row; the value is empty when the row could not be decoded. */
  private record Decoded<T>(StorePosition position, Optional<T> value) {}

  DecodedRows(String table, RowDecoder<T> decoder, DecisionLog log) {
    this.table = table;
    this.decoder = decoder;
    this.log = log;
  }

  /**
   * Returns the decoded values of the rows; rows that cannot be decoded are left out.
   *
   * @param rows all rows of the table; cached rows that are not among them are forgotten
   */
  List<T> read(Collection<FeedRow> rows) {
    Map<String, Decoded<T>> next = new HashMap<>();
    List<T> values = new ArrayList<>();
    for (FeedRow row : rows) {
      Decoded<T> before = decodedByKey.get(row.key());
      boolean same = before != null && before.position().equals(row.position());
      Decoded<T> decoded = same ? before : decode(row);
      next.put(row.key(), decoded);
      decoded.value().ifPresent(values::add);
    }
    decodedByKey = next;
    return values;
  }

  private Decoded<T> decode(FeedRow row) {
    return new Decoded<>(row.position(), tryDecode(table, decoder, row, log));
  }

  /**
   * Decodes a row; logs one that cannot be decoded. A fault of the decoder, such as a stack
   * overflow for deeply nested input, costs only this row.
   */
  static <T> Optional<T> tryDecode(
      String table, RowDecoder<T> decoder, FeedRow row, DecisionLog log) {
    try {
      return Optional.of(decoder.decode(row));
    } catch (MalformedMessageException e) {
      log.rowRefused(table, row.key(), e.getMessage());
    } catch (RuntimeException | StackOverflowError e) {
      log.rowRefused(table, row.key(), e.toString());
    }
    return Optional.empty();
  }
}
