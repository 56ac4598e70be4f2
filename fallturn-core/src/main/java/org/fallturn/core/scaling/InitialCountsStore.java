package org.fallturn.core.scaling;

import java.util.Map;
import org.fallturn.core.port.table.StoreException;

/**
 * Port: stores how many engines each service had in each zone before any order was given. Calls
 * block their thread for a bounded time; one thread calls.
 */
public interface InitialCountsStore {

  /**
   * Records the counts of a service unless they have been recorded before.
   *
   * @param service the service
   * @param observed number of engines by zone
   * @return the recorded counts
   * @throws StoreException when no usable answer arrived; the counts may have been recorded
   */
  Map<String, Integer> fix(String service, Map<String, Integer> observed) throws StoreException;
}
