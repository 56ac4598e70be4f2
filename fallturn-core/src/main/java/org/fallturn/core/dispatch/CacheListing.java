package org.fallturn.core.dispatch;

import java.util.Comparator;
import java.util.List;

/**
 * The prompt parts in the KV cache of one engine, without parts below a minimum size. Immutable.
 *
 * @param engineId id of the engine
 * @param ageMillis time in ms since the engine was asked
 * @param leastTokens minimum size in tokens; smaller parts are left out
 * @param parts the cached parts
 */
public record CacheListing(
    String engineId, long ageMillis, int leastTokens, List<PromptPart> parts) {

  /**
   * Minimum size of a part in tokens: an engine reads a smaller part in less time than a copy from
   * another engine is worth.
   */
  private static final int LEAST_TOKENS = 500;

  /**
   * Maximum number of parts in a listing that is passed on to other nodes, which makes some 10 KB.
   * A longer listing is cut to its largest parts.
   */
  private static final int MAX_PARTS = 600;

  /** Copies the parts. */
  public CacheListing {
    parts = List.copyOf(parts);
  }

  /**
   * Returns a listing of the larger parts that an engine has cached.
   *
   * @param engineId id of the engine
   * @param ageMillis time in ms since the engine was asked
   * @param kept all parts that the engine has cached
   */
  public static CacheListing of(String engineId, long ageMillis, List<PromptPart> kept) {
    List<PromptPart> largest =
        kept.stream()
            .filter(part -> part.tokens() >= LEAST_TOKENS)
            .sorted(Comparator.comparingInt(PromptPart::tokens).reversed())
            .toList();
    if (largest.size() <= MAX_PARTS) {
      return new CacheListing(engineId, ageMillis, LEAST_TOKENS, largest);
    }
    int least = largest.get(MAX_PARTS).tokens() + 1;
    List<PromptPart> cut = largest.stream().filter(part -> part.tokens() >= least).toList();
    return new CacheListing(engineId, ageMillis, least, cut);
  }

  /** Returns the same listing with another age. */
  public CacheListing aged(long newAgeMillis) {
    return new CacheListing(engineId, newAgeMillis, leastTokens, parts);
  }
}
