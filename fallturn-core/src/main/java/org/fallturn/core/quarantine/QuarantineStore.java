package org.fallturn.core.quarantine;

import java.util.List;
import java.util.Set;
import org.fallturn.core.port.table.StoreException;

/**
 * Port to the store that holds the contents in quarantine, and those under suspicion, beyond the
 * end of every process. Calls block their thread for a bounded time. One thread calls.
 */
public interface QuarantineStore {

  /**
   * A content that the store holds.
   *
   * @param content fingerprint of the content
   * @param ageMillis time in ms since it was last written
   * @param engines ids of the engines that crashed under it; empty when it is in quarantine,
   *     whatever else is known
   */
  record StoredContent(RequestFingerprint content, long ageMillis, Set<String> engines) {

    /** Copies the set. */
    public StoredContent {
      engines = Set.copyOf(engines);
    }

    /** Creates an entry for a content in quarantine. */
    public StoredContent(RequestFingerprint content, long ageMillis) {
      this(content, ageMillis, Set.of());
    }
  }

  /** Reads all contents that the store holds. */
  List<StoredContent> read() throws StoreException;

  /**
   * Stores a content as quarantined.
   *
   * @throws StoreException when no answer came; the write may still take effect
   */
  void put(RequestFingerprint content) throws StoreException;

  /**
   * Stores a content as suspected. It goes into quarantine once it has crashed another engine.
   *
   * @param engines ids of the engines that crashed under it, at least one
   * @throws StoreException when no answer came; the write may still take effect
   */
  void putSuspect(RequestFingerprint content, Set<String> engines) throws StoreException;

  /**
   * Removes a content from the store, whether quarantined or suspected.
   *
   * @throws StoreException when no answer came; the write may still take effect
   */
  void remove(RequestFingerprint content) throws StoreException;
}
