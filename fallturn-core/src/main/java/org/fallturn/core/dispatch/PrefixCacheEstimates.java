package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Estimates which prompt parts each engine has in its KV cache: the parts that were sent to it,
 * without the least recently used ones beyond its capacity. Entries are kept by engine incarnation,
 * so that a restarted engine begins empty. Confined to one thread.
 */
final class PrefixCacheEstimates {

  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 64;

  /**
   * Share of an engine's cache capacity that is assumed to keep prompt parts; the rest holds the
   * requests that run.
   */
  private static final double CACHE_SHARE = 0.9;

  /** An engine's listing may lack a part that it read up to this long before it was asked. */
  private static final long LIST_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final Map<String, EngineCache> engines = new HashMap<>();

  /**
   * Returns how many tokens at the beginning of the prompt the engine has cached, or will have
   * cached once it has read what was sent to it.
   */
  int cachedTokens(String engineId, List<PromptPart> parts) {
    return cachedTokens(engineId, parts, Long.MAX_VALUE);
  }

  /** Returns how many tokens at the beginning of the prompt the engine has cached at a time. */
  int readyTokens(String engineId, List<PromptPart> parts, long nowNanos) {
    return cachedTokens(engineId, parts, nowNanos);
  }

  private int cachedTokens(String engineId, List<PromptPart> parts, long untilNanos) {
    EngineCache engine = engines.get(engineId);
    if (engine == null) {
      return 0;
    }
    int cached = 0;
    for (PromptPart part : parts) {
      CachedPart kept = engine.parts.get(part.id());
      if (kept == null || untilNanos != Long.MAX_VALUE && kept.readyAtNanos - untilNanos > 0) {
        return cached;
      }
      cached += Math.min(kept.tokens, part.tokens());
      if (kept.tokens < part.tokens()) {
        return cached;
      }
    }
    return cached;
  }

  /**
   * Records that the engine reads these parts.
   *
   * @param capacityTokens cache capacity of the engine in tokens
   * @param readyAtNanos time at which the engine has read the parts that it had not cached before
   */
  void record(String engineId, long capacityTokens, List<PromptPart> parts, long readyAtNanos) {
    EngineCache engine = engines.computeIfAbsent(engineId, id -> new EngineCache());
    for (PromptPart part : parts) {
      engine.touch(part, readyAtNanos);
    }
    engine.evictBeyond((long) (CACHE_SHARE * capacityTokens));
  }

  /**
   * Replaces the estimate for an engine by the listing that the engine gave, but keeps parts that
   * are too small for the listing or that the engine may have read since. Parts that were not known
   * before count as the least recently used.
   *
   * @param leastTokens minimum size in tokens; the listing leaves out smaller parts
   * @param askedAtNanos time at which the engine was asked
   */
  void replace(String engineId, List<PromptPart> listed, int leastTokens, long askedAtNanos) {
    EngineCache before = engines.computeIfAbsent(engineId, id -> new EngineCache());
    EngineCache now = new EngineCache();
    Map<String, Integer> tokensById = new HashMap<>();
    for (PromptPart part : listed) {
      tokensById.put(part.id(), part.tokens());
      if (!before.parts.containsKey(part.id())) {
        now.touch(part, askedAtNanos);
      }
    }
    before.parts.forEach(
        (id, kept) -> {
          Integer tokens = tokensById.get(id);
          if (tokens != null) {
            now.touch(new PromptPart(id, tokens), kept.readyAtNanos);
          } else if (kept.tokens < leastTokens
              || kept.readyAtNanos - askedAtNanos > -LIST_LAG_NANOS) {
            now.touch(new PromptPart(id, kept.tokens), kept.readyAtNanos);
          }
        });
    engines.put(engineId, now);
  }

  /** Returns the parts that each known engine is estimated to have cached now. */
  List<CacheListing> listings(long nowNanos) {
    List<CacheListing> listings = new ArrayList<>();
    engines.forEach(
        (id, engine) -> {
          List<PromptPart> ready = new ArrayList<>();
          engine.parts.forEach(
              (part, kept) -> {
                if (kept.readyAtNanos - nowNanos <= 0) {
                  ready.add(new PromptPart(part, kept.tokens));
                }
              });
          listings.add(CacheListing.of(id, 0, ready));
        });
    return listings;
  }

  /**
   * Forgets those of the parts that the engine has not read yet, because it will not read them.
   * Parts that it has read stay.
   */
  void forgetUnread(String engineId, List<PromptPart> parts, long nowNanos) {
    EngineCache engine = engines.get(engineId);
    if (engine != null) {
      parts.forEach(part -> engine.forgetUnread(part.id(), nowNanos));
    }
  }

  /** Forgets all parts of an engine. */
  void forget(String engineId) {
    engines.remove(engineId);
  }

  /** Forgets the engines that are not among the given ones. */
  void retain(Set<String> engineIds) {
    engines.keySet().retainAll(engineIds);
  }

  private record CachedPart(int tokens, long readyAtNanos) {}

  /** The cached parts of one engine, least recently used first. */
  private static final class EngineCache {

    private final LinkedHashMap<String, CachedPart> parts =
        new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private long total;

    void touch(PromptPart part, long readyAtNanos) {
      CachedPart before = parts.get(part.id());
      int keptTokens = before == null ? 0 : before.tokens;
      if (before == null || keptTokens < part.tokens()) {
        parts.put(part.id(), new CachedPart(part.tokens(), readyAtNanos));
        total += part.tokens() - keptTokens;
      }
    }

    void forgetUnread(String partId, long nowNanos) {
      CachedPart kept = parts.get(partId);
      if (kept != null && kept.readyAtNanos - nowNanos > 0) {
        parts.remove(partId);
        total -= kept.tokens;
      }
    }

    void evictBeyond(long capacity) {
      Iterator<Map.Entry<String, CachedPart>> oldest = parts.entrySet().iterator();
      while (total > capacity && oldest.hasNext()) {
        total -= oldest.next().getValue().tokens();
        oldest.remove();
      }
    }
  }
}
