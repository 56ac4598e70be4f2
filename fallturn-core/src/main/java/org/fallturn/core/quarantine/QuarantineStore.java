package org.fallturn.core.quarantine;

import java.util.List;
import java.util.Set;
import org.fallturn.core.port.table.StoreException;

/**
 * Port: the contents in quarantine, and those under suspicion, that outlast every process. Calls
 * block their thread for a bounded time; one thread calls.
 */
public interface QuarantineStore {

  /**
   * A content that the store holds.
   *
   * @param ageMillis how long ago it was written last
   * @param engines engines that crashed under it; empty where it is in quarantine whatever is known
   */
  record StoredContent(RequestFingerprint content, long ageMillis, Set<String> engines) {

    /** A private copy. */
    public StoredContent {
      engines = Set.copyOf(engines);
    }

    /** A content in quarantine. */
    public StoredContent(RequestFingerprint content, long ageMillis) {
      this(content, ageMillis, Set.of());
    }
  }

  /** Every content that the store holds. */
  List<StoredContent> read() throws StoreException;

  /**
   * Holds a content in quarantine from now on.
   *
   * @throws StoreException when no answer came; the write may still take effect
   */
  void put(RequestFingerprint content) throws StoreException;

  /**
   * Holds a content under suspicion, which is in quarantine once it has crashed another engine.
   *
   * @param engines engines that crashed under it, at least one
   * @throws StoreException when no answer came; the write may still take effect
   */
  void putSuspect(RequestFingerprint content, Set<String> engines) throws StoreException;

  /**
   * Holds a content no longer, neither in quarantine nor under suspicion.
   *
   * @throws StoreException when no answer came; the write may still take effect
   */
  void remove(RequestFingerprint content) throws StoreException;
}
