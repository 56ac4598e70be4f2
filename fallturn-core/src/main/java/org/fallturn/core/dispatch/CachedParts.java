package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An estimate of which prompt parts each engine keeps: what was sent there, least recently used
 * parts dropped past the engine's capacity. Keyed by engine incarnation, so that a restarted engine
 * begins empty. One thread calls.
 */
final class CachedParts {

  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 64;

  /** Part of an engine's memory that is believed to keep parts; the rest holds running requests. */
  private static final double KEPT_SHARE = 0.8;

  private final Map<String, EngineParts> engines = new HashMap<>();

  /** Tokens at the beginning of the prompt that the engine is believed to keep. */
  int cachedTokens(String engineId, List<PromptPart> parts) {
    EngineParts engine = engines.get(engineId);
    if (engine == null) {
      return 0;
    }
    int cached = 0;
    for (PromptPart part : parts) {
      if (!engine.tokensByPart.containsKey(part.id())) {
        return cached;
      }
      cached += part.tokens();
    }
    return cached;
  }

  /** Whether any engine is believed to keep the part. */
  boolean known(PromptPart part) {
    return engines.values().stream().anyMatch(e -> e.tokensByPart.containsKey(part.id()));
  }

  /** The engine reads, or has read, these parts. */
  void record(String engineId, long capacityTokens, List<PromptPart> parts) {
    EngineParts engine = engines.computeIfAbsent(engineId, id -> new EngineParts());
    for (PromptPart part : parts) {
      engine.touch(part);
    }
    engine.trim((long) (KEPT_SHARE * capacityTokens));
  }

  /** Forgets engines that are no longer listed. */
  void retain(Set<String> engineIds) {
    engines.keySet().retainAll(engineIds);
  }

  /** Parts of one engine, least recently used first. */
  private static final class EngineParts {

    private final LinkedHashMap<String, Integer> tokensByPart =
        new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private long total;

    void touch(PromptPart part) {
      Integer before = tokensByPart.put(part.id(), part.tokens());
      total += part.tokens() - (before == null ? 0 : before);
    }

    void trim(long capacity) {
      Iterator<Map.Entry<String, Integer>> oldest = tokensByPart.entrySet().iterator();
      while (total > capacity && oldest.hasNext()) {
        total -= oldest.next().getValue();
        oldest.remove();
      }
    }
  }
}
