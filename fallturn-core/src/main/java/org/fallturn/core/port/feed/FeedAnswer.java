package org.fallturn.core.port.feed;

import java.util.List;

/**
 * Rows, and the position of the store's history that they hold at.
 *
 * @param rows the rows of a whole table, or those that changed, in the order of the changes
 * @param position the position; all rows are of its era
 * @param storeMillis the store's steady clock at the answer; 0 when the store did not answer
 */
public record FeedAnswer(List<FeedRow> rows, StorePosition position, long storeMillis) {

  /** Copies the rows. */
  public FeedAnswer {
    rows = List.copyOf(rows);
  }

  /** Rows that do not come from the store now. */
  public FeedAnswer(List<FeedRow> rows, StorePosition position) {
    this(rows, position, 0);
  }
}
