package org.fallturn.node.gateway;

import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.node.json.MalformedMessageException;

/**
 * Port: reads one row of a followed table. Thread-safe; decides nothing.
 *
 * @param <T> what the row means
 */
@FunctionalInterface
public interface RowDecoder<T> {

  /** Reads the row's value. */
  T decode(FeedRow row) throws MalformedMessageException;
}
