package org.fallturn.rehearsal.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * Bounded cache of prompt prefixes in blocks; the least recently used block goes first. Blocks are
 * named by their chained hashes, so a prefix is cached as far as its hashes are present one after
 * the other. Not thread-safe.
 */
final class PrefixCache {

  private final int capacity;
  private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  /** What a store changed. */
  record Change(List<Long> stored, List<Long> evicted) {}

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Leading blocks of a prompt that are cached; marks them as used. */
  int match(List<Long> hashes) {
    int matched = 0;
    while (matched < hashes.size() && blocks.get(hashes.get(matched)) != null) {
      matched++;
    }
    return matched;
  }

  /** Stores a prompt's blocks, as many leading ones as fit. */
  Change store(List<Long> hashes) {
    List<Long> stored = new ArrayList<>();
    for (Long hash : hashes.subList(0, Math.min(capacity, hashes.size()))) {
      if (blocks.put(hash, true) == null) {
        stored.add(hash);
      }
    }
    return new Change(stored, evictAbove(capacity));
  }

  /** Forgets everything; gives what was there. */
  List<Long> clear() {
    return evictAbove(0);
  }

  int size() {
    return blocks.size();
  }

  private List<Long> evictAbove(int limit) {
    List<Long> evicted = new ArrayList<>();
    var oldest = blocks.keySet().iterator();
    for (int excess = blocks.size() - limit; excess > 0; excess--) {
      evicted.add(oldest.next());
      oldest.remove();
    }
    return evicted;
  }
}
