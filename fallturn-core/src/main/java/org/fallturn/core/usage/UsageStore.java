package org.fallturn.core.usage;

import java.util.Optional;
import org.fallturn.core.port.table.StoreException;

/**
 * Port to the store of the counts that the fleet has agreed to report for each window. Calls block
 * the calling thread for a bounded time; only one thread may call.
 */
public interface UsageStore {

  /**
   * Stores the counts of a window, unless counts of that window are stored already.
   *
   * @return the stored counts of the window, which every report of it must contain; empty when
   *     counts of later windows were stored long ago
   * @throws StoreException when no usable answer came; the counts may have been stored
   */
  Optional<UsageReport> fix(UsageReport proposed) throws StoreException;
}
