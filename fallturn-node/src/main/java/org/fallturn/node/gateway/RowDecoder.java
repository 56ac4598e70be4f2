package org.fallturn.node.gateway;

import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Port: decodes one row of a followed table. Implementations are thread-safe and only parse: they
 * make no decisions.
 *
 * @param <T> type of the decoded row
 */
@FunctionalInterface
public interface RowDecoder<T> {

  /**
   * Decodes the row's value.
   *
   * @throws MalformedMessageException when the value cannot be decoded
   */
  T decode(FeedRow row) throws MalformedMessageException;
}
