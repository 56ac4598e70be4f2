package org.fallturn.node.gateway;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Keys of requests that were cancelled and had not come: the cancellation goes over another
 * connection and may overtake its request. Remembers the latest ones. Thread-safe.
 */
final class CancelledKeys {

  /** More than a node has requests under way at another one. */
  private static final int MAX_KEYS = 1_024;

  private final Set<String> keys = new LinkedHashSet<>();

  synchronized void add(String key) {
    keys.add(key);
    if (keys.size() > MAX_KEYS) {
      keys.remove(keys.iterator().next());
    }
  }

  /** Whether the request with a key was cancelled; it is forgotten then. */
  synchronized boolean remove(String key) {
    return keys.remove(key);
  }
}
