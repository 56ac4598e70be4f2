package org.fallturn.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

  private final int maxBlocksPerEngine;
  private final Map<Long, Set<EngineId>> holders = new HashMap<>();
  private final Map<EngineId, EngineBlocks> engines = new HashMap<>();

  PrefixIndex(int maxBlocksPerEngine) {
    this.maxBlocksPerEngine = maxBlocksPerEngine;
  }

  /**
   * The engines that hold the longest prefixes, at most {@value #MAX_CANDIDATES}, with the number
   * of tokens each holds.
   */
  Map<EngineId, Integer> longestMatches(List<Long> prefixHashes) {
    Map<EngineId, Integer> matches = new LinkedHashMap<>();
    for (int index = prefixHashes.size() - 1; index >= 0; index--) {
      Set<EngineId> holding = holders.getOrDefault(prefixHashes.get(index), Set.of());
      for (EngineId engine : holding) {
        matches.putIfAbsent(engine, (index + 1) * PrefixBlocks.TOKENS_PER_BLOCK);
        if (matches.size() >= MAX_CANDIDATES) {
          return matches;
        }
      }
    }
    return matches;
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
      known.blocks.forEach(block -> removeHolder(engine, block));
    }
  }

  private EngineBlocks blocksOf(EngineId engine) {
    return engines.computeIfAbsent(engine, key -> new EngineBlocks());
  }

  private void insert(EngineId engine, EngineBlocks known, Long hash) {
    known.blocks.remove(hash);
    known.blocks.add(hash);
    holders.computeIfAbsent(hash, key -> new HashSet<>()).add(engine);
    if (known.blocks.size() > maxBlocksPerEngine) {
      Iterator<Long> oldestFirst = known.blocks.iterator();
      Long oldest = oldestFirst.next();
      oldestFirst.remove();
      removeHolder(engine, oldest);
    }
  }

  private void removeHolder(EngineId engine, Long block) {
    Set<EngineId> holding = holders.get(block);
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
    private final LinkedHashSet<Long> blocks = new LinkedHashSet<>();
    private long incarnation;
    private long nextEvent;
  }
}
