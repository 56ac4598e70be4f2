package org.fallturn.core.stages;

import java.util.OptionalLong;
import org.fallturn.core.port.table.StoreException;

/**
 * Port: the row of the store that says who may give orders. Calls block their thread for a bounded
 * time; one thread calls.
 */
public interface OrderLeaseStore {

  /** Reads the row and the store's clock. */
  OrderLeaseReading read() throws StoreException;

  /**
   * Writes the row if it still has a version.
   *
   * @return the new version, above that of every write before; empty when the version was another
   * @throws StoreException when no answer came; the write may still take effect
   */
  OptionalLong write(OrderLeaseRow row, long expectedVersion) throws StoreException;
}
