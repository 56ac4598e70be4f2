package org.fallturn.rehearsal.simulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Least-recently-used cache of shared prefixes in one engine. Not thread-safe. */
final class PrefixCache {
  private final int capacity;
  private final Map<SharedPrefix, Boolean> held = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Tokens of a prompt that start with this prefix and need not be computed. */
  int cachedTokens(SharedPrefix prefix) {
    return held.get(prefix) == null ? 0 : prefix.cachedTokens();
  }

  /** Stores a prefix; false when it was there. */
  boolean store(SharedPrefix prefix) {
    return prefix.cachedTokens() > 0 && held.put(prefix, Boolean.TRUE) == null;
  }

  /** Evicts the prefix that was not used for longest, when there are too many. */
  Optional<SharedPrefix> evict() {
    if (held.size() <= capacity) {
      return Optional.empty();
    }
    SharedPrefix oldest = held.keySet().iterator().next();
    held.remove(oldest);
    return Optional.of(oldest);
  }

  /** Forgets everything; answers what was held. */
  List<SharedPrefix> clear() {
    List<SharedPrefix> forgotten = new ArrayList<>(held.keySet());
    held.clear();
    return forgotten;
  }
}
