package org.fallturn.core.quarantine;

import java.util.List;
import org.fallturn.core.port.table.StoreException;

/**
 * Port: the contents in quarantine that outlast every process. Calls block their thread for a
 * bounded time; one thread calls.
 */
public interface QuarantineStore {

  /**
   * A content that the store holds.
   *
   * @param ageMillis how long ago it was written last
   */
  record Held(RequestFingerprint content, long ageMillis) {}

  /** Every content that the store holds. */
  List<Held> read() throws StoreException;

  /**
   * Holds a content from now on.
   *
   * @throws StoreException when no answer came; the write may still take effect
   */
  void put(RequestFingerprint content) throws StoreException;

  /**
   * Holds a content no longer.
   *
   * @throws StoreException when no answer came; the write may still take effect
   */
  void remove(RequestFingerprint content) throws StoreException;
}
