package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.node.json.MalformedMessageException;

/**
 * The rows of a table as they were read, each once for each time that it was written: a change of
 * one engine costs no reading of all others, and a row that cannot be read is logged once. Holds no
 * more rows than the table. One thread calls.
 *
 * @param <T> what a row means
 */
final class DecodedRows<T> {

  private final String table;
  private final RowDecoder<T> decoder;
  private final DecisionLog log;
  private Map<String, Decoded<T>> known = Map.of();

  /** A row at one of its versions; without a value when it could not be read. */
  private record Decoded<T>(long version, Optional<T> value) {}

  DecodedRows(String table, RowDecoder<T> decoder, DecisionLog log) {
    this.table = table;
    this.decoder = decoder;
    this.log = log;
  }

  /** What the rows mean that can be read; those that cannot are left out. */
  List<T> read(Collection<FeedRow> rows) {
    Map<String, Decoded<T>> next = new HashMap<>();
    List<T> values = new ArrayList<>();
    for (FeedRow row : rows) {
      Decoded<T> before = known.get(row.key());
      boolean same = before != null && before.version() == row.version();
      Decoded<T> decoded = same ? before : decode(row);
      next.put(row.key(), decoded);
      decoded.value().ifPresent(values::add);
    }
    known = next;
    return values;
  }

  private Decoded<T> decode(FeedRow row) {
    try {
      return new Decoded<>(row.version(), Optional.of(decoder.decode(row)));
    } catch (MalformedMessageException e) {
      log.rowRefused(table, row.key(), e.getMessage());
      return new Decoded<>(row.version(), Optional.empty());
    }
  }
}
