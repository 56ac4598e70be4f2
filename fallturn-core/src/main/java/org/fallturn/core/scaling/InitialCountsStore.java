package org.fallturn.core.scaling;

import java.util.Map;
import org.fallturn.core.port.table.StoreException;

/**
 * Port: stores how many engines each service had in each zone before any order was given. Calls
 * block their thread for a bounded time; one thread calls.
 */
public interface InitialCountsStore {

  /** Reads the counts of a service. */
  InitialCountsReading read(String service) throws StoreException;

  /**
   * Writes the counts of a service unless there are any.
   *
   * @param counts number of engines by zone
   * @return whether they were written
   * @throws StoreException when no usable answer arrived; the counts may have been written
   */
  boolean write(String service, Map<String, Integer> counts) throws StoreException;
}
