package org.fallturn.core.peers;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The newest change of each followed table that any node has seen. A node whose own position is
 * before it has missed a change. Thread-safe; a version never goes back.
 */
public final class TableVersions {

  private final Map<String, Long> newest = new ConcurrentHashMap<>();

  /** A node has seen a change. */
  public void onSeen(String table, long version) {
    newest.merge(table, version, Math::max);
  }

  /** The newest change of a table that was seen by any node; 0 when none was. */
  public long newest(String table) {
    return newest.getOrDefault(table, 0L);
  }

  /** All tables. */
  Map<String, Long> all() {
    return Map.copyOf(newest);
  }
}
