package org.fallturn.core.usage;

import java.util.Optional;
import org.fallturn.core.port.table.StoreException;

/**
 * Port: the counts that the fleet has agreed to report for each window. Calls block their thread
 * for a bounded time; one thread calls.
 */
public interface UsageStore {

  /**
   * Fixes the counts of a window, unless they were fixed before.
   *
   * @return the counts that hold for the window, which every report of it must carry; empty when
   *     windows after it were fixed long ago
   * @throws StoreException when no usable answer came; the counts may have been fixed
   */
  Optional<UsageReport> fix(UsageReport proposed) throws StoreException;
}
