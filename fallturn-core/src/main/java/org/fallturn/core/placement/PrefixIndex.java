package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.PrefixBlocks;
import org.fallturn.core.port.engine.CacheEvents;

/**
 * Which engine is believed to hold which prefix block. Fed by late cache events and by the leader's
 * own placements, which put blocks in before the engine says so. A gap in an engine's events or a
 * new incarnation resets what is believed of it. Bounded for each engine; the oldest belief goes
 * first.
 */
final class PrefixIndex {
  private static final int MAX_CANDIDATES = 8;
  private static final int INITIAL_BLOCKS = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxBlocksPerEngine;
  private final Map<Long, List<EngineId>> holders = new HashMap<>();
  private final Map<EngineId, EngineBlocks> engines = new HashMap<>();

  PrefixIndex(int maxBlocksPerEngine) {
    this.maxBlocksPerEngine = maxBlocksPerEngine;
  }

  /**
   * Engines that hold long prefixes, at most {@value #MAX_CANDIDATES}, with a number of tokens that
   * each holds at least. Caches keep a block's prefix as long as the block, so the longest held
   * prefix is found by bisection, and shorter ones are looked at in halves.
   */
  Map<EngineId, Integer> longestMatches(List<Long> prefixHashes) {
    Map<EngineId, Integer> matches = new LinkedHashMap<>();
    int level = longestHeld(prefixHashes);
    while (level > 0 && matches.size() < MAX_CANDIDATES) {
      for (EngineId engine : holdersOf(prefixHashes.get(level - 1))) {
        if (matches.size() < MAX_CANDIDATES) {
          matches.putIfAbsent(engine, level * PrefixBlocks.TOKENS_PER_BLOCK);
        }
      }
      level /= 2;
    }
    return matches;
  }

  /** Number of leading blocks that some engine holds. */
  private int longestHeld(List<Long> prefixHashes) {
    int held = 0;
    int notHeld = prefixHashes.size() + 1;
    while (notHeld - held > 1) {
      int middle = (held + notHeld) >>> 1;
      if (holdersOf(prefixHashes.get(middle - 1)).isEmpty()) {
        notHeld = middle;
      } else {
        held = middle;
      }
    }
    return held;
  }

  private List<EngineId> holdersOf(Long hash) {
    return holders.getOrDefault(hash, List.of());
  }

  /** A prompt was placed: its blocks will be on this engine soon. */
  void expect(EngineId engine, List<Long> prefixHashes) {
    EngineBlocks known = blocksOf(engine);
    prefixHashes.forEach(hash -> insert(engine, known, hash));
  }

  /** Takes in cache events of the engine's present incarnation. */
  void onEvents(EngineId engine, CacheEvents events) {
    EngineBlocks known = blocksOf(engine);
    boolean restarted = known.incarnation != 0 && known.incarnation != events.incarnation();
    boolean gap = events.first() > known.nextEvent;
    if (restarted || gap && known.nextEvent > 0) {
      reset(engine);
      known = blocksOf(engine);
    }
    known.incarnation = events.incarnation();
    int alreadyKnown =
        (int) Math.max(0, Math.min(known.nextEvent - events.first(), sizeOf(events)));
    List<CacheEvents.CacheEvent> fresh = events.events().subList(alreadyKnown, sizeOf(events));
    for (CacheEvents.CacheEvent event : fresh) {
      apply(engine, known, event);
    }
    known.nextEvent = Math.max(known.nextEvent, events.first() + sizeOf(events));
  }

  private static int sizeOf(CacheEvents events) {
    return events.events().size();
  }

  private void apply(EngineId engine, EngineBlocks known, CacheEvents.CacheEvent event) {
    for (Long block : event.blocks()) {
      if (event.kind() == CacheEvents.CacheEvent.Kind.STORED) {
        insert(engine, known, block);
      } else {
        known.blocks.remove(block);
        removeHolder(engine, block);
      }
    }
  }

  /** Number of the last event taken in; 0 when none was. */
  long lastEvent(EngineId engine) {
    EngineBlocks known = engines.get(engine);
    return known == null ? 0 : Math.max(0, known.nextEvent - 1);
  }

  /** Forgets what is believed of an engine, where its events stand included. */
  void reset(EngineId engine) {
    EngineBlocks known = engines.remove(engine);
    if (known != null) {
      known.blocks.keySet().forEach(block -> removeHolder(engine, block));
    }
  }

  private EngineBlocks blocksOf(EngineId engine) {
    return engines.computeIfAbsent(engine, key -> new EngineBlocks());
  }

  private void insert(EngineId engine, EngineBlocks known, Long hash) {
    if (known.blocks.put(hash, Boolean.TRUE) != null) {
      return;
    }
    holders.computeIfAbsent(hash, key -> new ArrayList<>(1)).add(engine);
    if (known.blocks.size() > maxBlocksPerEngine) {
      Iterator<Long> oldestFirst = known.blocks.keySet().iterator();
      Long oldest = oldestFirst.next();
      oldestFirst.remove();
      removeHolder(engine, oldest);
    }
  }

  private void removeHolder(EngineId engine, Long block) {
    List<EngineId> holding = holders.get(block);
    if (holding != null && holding.remove(engine) && holding.isEmpty()) {
      holders.remove(block);
    }
  }

  /** Number of beliefs, for tests and metrics. */
  int size() {
    return engines.values().stream().mapToInt(known -> known.blocks.size()).sum();
  }

  /** What is believed of one engine. */
  private static final class EngineBlocks {
    private final LinkedHashMap<Long, Boolean> blocks =
        new LinkedHashMap<>(INITIAL_BLOCKS, LOAD_FACTOR, true);
    private long incarnation;
    private long nextEvent;
  }
}
