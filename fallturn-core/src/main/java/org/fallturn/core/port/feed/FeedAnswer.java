package org.fallturn.core.port.feed;

import java.util.List;

/**
 * Rows, and the position of the store's history that they hold at.
 *
 * @param rows the rows of a whole table, or those that changed, in the order of the changes
 * @param version the position
 * @param storeMillis the store's steady clock at the answer; 0 when the store did not answer
 */
public record FeedAnswer(List<FeedRow> rows, long version, Long storeMillis) {

  /** A private copy of the rows; a missing time is none. */
  public FeedAnswer {
    rows = List.copyOf(rows);
    storeMillis = storeMillis == null ? 0 : storeMillis;
  }

  /** Rows that do not come from the store now. */
  public FeedAnswer(List<FeedRow> rows, long version) {
    this(rows, version, 0L);
  }
}
