package org.fallturn.core.usage;

import java.util.Optional;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;

/**
 * Port to the store of the counts that the fleet has agreed to report for each window. Calls block
 * the calling thread for a bounded time; only one thread may call.
 */
public interface UsageStore {

  /** Reads the row that holds the counts of a window. */
  UsageReading read(long window) throws StoreException;

  /**
   * Writes the counts of a window if its row still has the expected version (compare-and-set).
   *
   * @param expectedVersion the version that was read; 0 for a row that does not exist
   * @return the position of the write; empty when the row had another version, and was not written
   * @throws StoreException when no usable answer came; the counts may be written later
   */
  Optional<StorePosition> write(FixedUsage counts, long expectedVersion) throws StoreException;
}
