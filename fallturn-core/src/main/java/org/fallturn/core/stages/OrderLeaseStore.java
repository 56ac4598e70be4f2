package org.fallturn.core.stages;

import java.util.Optional;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.port.table.StoreException;

/**
 * Port: access to the row of the store that records which node may give orders. Calls block their
 * thread for a bounded time; one thread calls.
 */
public interface OrderLeaseStore {

  /** Reads the row and the store's clock. */
  OrderLeaseReading read() throws StoreException;

  /**
   * Writes the row if it still has the given version.
   *
   * @param row new content
   * @param expectedVersion version that the row must have; 0 when it must be absent
   * @return the position of the write, later than that of every earlier write; empty when the row
   *     had another version
   * @throws StoreException when no answer arrived; the write may still take effect
   */
  Optional<StorePosition> write(OrderLeaseRow row, long expectedVersion) throws StoreException;
}
