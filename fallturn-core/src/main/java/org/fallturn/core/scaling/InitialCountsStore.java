package org.fallturn.core.scaling;

import java.util.Map;
import org.fallturn.core.port.table.StoreException;

/**
 * Port: how many engines each service had in each zone before any order. Calls block their thread
 * for a bounded time; one thread calls.
 */
public interface InitialCountsStore {

  /**
   * Fixes the numbers of a service, unless they were fixed before.
   *
   * @param observed engines by zone
   * @return the numbers that hold
   * @throws StoreException when no usable answer came; the numbers may have been fixed
   */
  Map<String, Integer> fix(String service, Map<String, Integer> observed) throws StoreException;
}
