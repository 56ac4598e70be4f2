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
 * An estimate of which prompt parts each engine keeps: what was sent there, least recently used
 * parts dropped past the engine's capacity. Keyed by engine incarnation, so that a restarted engine
 * begins empty. One thread calls.
 */
final class PrefixCacheEstimates {

  private static final float LOAD_FACTOR = 0.75f;
  private static final int INITIAL_CAPACITY = 64;

  /** Part of an engine's memory that is believed to keep parts; the rest holds running requests. */
  private static final double KEPT_SHARE = 0.9;

  /** A part read shortly before an engine was asked may be missing in its answer. */
  private static final long LIST_LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private final Map<String, EngineParts> engines = new HashMap<>();

  /** Tokens at the beginning of the prompt that the engine keeps, or will once it is idle. */
  int cachedTokens(String engineId, List<PromptPart> parts) {
    return cachedTokens(engineId, parts, Long.MAX_VALUE);
  }

  /** Tokens at the beginning of the prompt that the engine has read by a time. */
  int readyTokens(String engineId, List<PromptPart> parts, long nowNanos) {
    return cachedTokens(engineId, parts, nowNanos);
  }

  private int cachedTokens(String engineId, List<PromptPart> parts, long untilNanos) {
    EngineParts engine = engines.get(engineId);
    if (engine == null) {
      return 0;
    }
    int cached = 0;
    for (PromptPart part : parts) {
      Kept kept = engine.parts.get(part.id());
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
   * The engine reads these parts.
   *
   * @param readyAtNanos when it has read those that it did not keep already
   */
  void record(String engineId, long capacityTokens, List<PromptPart> parts, long readyAtNanos) {
    EngineParts engine = engines.computeIfAbsent(engineId, id -> new EngineParts());
    for (PromptPart part : parts) {
      engine.touch(part, readyAtNanos);
    }
    engine.trim((long) (KEPT_SHARE * capacityTokens));
  }

  /**
   * The engine said what it keeps, which replaces what was believed but for parts that it may have
   * read since; those that were not known count as the least recently used.
   *
   * @param leastTokens smaller parts were left out
   * @param askedAtNanos when it was asked
   */
  void replace(String engineId, List<PromptPart> listed, int leastTokens, long askedAtNanos) {
    EngineParts before = engines.computeIfAbsent(engineId, id -> new EngineParts());
    EngineParts now = new EngineParts();
    Map<String, Integer> listedTokens = new HashMap<>();
    for (PromptPart part : listed) {
      listedTokens.put(part.id(), part.tokens());
      if (!before.parts.containsKey(part.id())) {
        now.touch(part, askedAtNanos);
      }
    }
    before.parts.forEach(
        (id, kept) -> {
          Integer tokens = listedTokens.get(id);
          if (tokens != null) {
            now.touch(new PromptPart(id, tokens), kept.readyAtNanos);
          } else if (kept.tokens < leastTokens
              || kept.readyAtNanos - askedAtNanos > -LIST_LAG_NANOS) {
            now.touch(new PromptPart(id, kept.tokens), kept.readyAtNanos);
          }
        });
    engines.put(engineId, now);
  }

  /** What is believed of each engine that is known to keep any. */
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

  /** The engine did not read these parts after all; those that it had read before stay. */
  void forgetUnread(String engineId, List<PromptPart> parts, long nowNanos) {
    EngineParts engine = engines.get(engineId);
    if (engine != null) {
      parts.forEach(part -> engine.forgetUnread(part.id(), nowNanos));
    }
  }

  /** Nothing is known of what the engine keeps. */
  void forget(String engineId) {
    engines.remove(engineId);
  }

  /** Forgets engines that are no longer listed. */
  void retain(Set<String> engineIds) {
    engines.keySet().retainAll(engineIds);
  }

  private record Kept(int tokens, long readyAtNanos) {}

  /** Parts of one engine, least recently used first. */
  private static final class EngineParts {

    private final LinkedHashMap<String, Kept> parts =
        new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private long total;

    void touch(PromptPart part, long readyAtNanos) {
      Kept before = parts.get(part.id());
      int keptTokens = before == null ? 0 : before.tokens;
      if (before == null || keptTokens < part.tokens()) {
        parts.put(part.id(), new Kept(part.tokens(), readyAtNanos));
        total += part.tokens() - keptTokens;
      }
    }

    void forgetUnread(String partId, long nowNanos) {
      Kept kept = parts.get(partId);
      if (kept != null && kept.readyAtNanos - nowNanos > 0) {
        parts.remove(partId);
        total -= kept.tokens;
      }
    }

    void trim(long capacity) {
      Iterator<Map.Entry<String, Kept>> oldest = parts.entrySet().iterator();
      while (total > capacity && oldest.hasNext()) {
        total -= oldest.next().getValue().tokens();
        oldest.remove();
      }
    }
  }
}
