package org.fallturn.core.port.feed;

import java.util.List;

/**
 * Rows, and the position of the store's history that they hold at.
 *
 * @param rows the rows of a whole table, or those that changed, in the order of the changes
 * @param version the position
 */
public record FeedAnswer(List<FeedRow> rows, long version) {

  /** A private copy of the rows. */
  public FeedAnswer {
    rows = List.copyOf(rows);
  }
}
