package org.fallturn.core.port.feed;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.fallturn.core.port.table.StoreException;

/**
 * One table of the platform's store. Calls block their thread for a bounded time; only the thread
 * that follows the table calls them. Reading changes nothing, so a failed call may be repeated.
 */
public interface RowFeed {

  /** Reads the whole table as of one moment, which may lie a little in the past. */
  FeedAnswer snapshot() throws StoreException;

  /**
   * Reads the changes after a position, as soon as there are any.
   *
   * @param after the position reached so far
   * @param wait how long to wait for a change; an empty answer follows when none came
   * @param stillWanted asked now and then; an empty answer follows soon after it says no
   * @throws HistoryLostException when the store no longer has them, or is in another era
   */
  FeedAnswer changesAfter(StorePosition after, Duration wait, BooleanSupplier stillWanted)
      throws StoreException, HistoryLostException;
}
