package org.fallturn.core.dispatch;

import java.util.Comparator;
import java.util.List;

/**
 * The prompt parts that an engine said it keeps, those of some size. Immutable.
 *
 * @param engineId the engine
 * @param ageMillis how long ago it was asked
 * @param leastTokens parts of fewer tokens are left out
 * @param parts the parts
 */
public record CacheListing(
    String engineId, long ageMillis, int leastTokens, List<PromptPart> parts) {

  /** Smaller parts are read in less time than a copy is worth. */
  private static final int LEAST_TOKENS = 500;

  /** Longest listing that is told on, some 10 KB; a longer one is cut to its largest parts. */
  private static final int MAX_PARTS = 600;

  /** A private copy of the parts. */
  public CacheListing {
    parts = List.copyOf(parts);
  }

  /** The larger of the parts that an engine keeps. */
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

  /** The same listing at another age. */
  public CacheListing aged(long newAgeMillis) {
    return new CacheListing(engineId, newAgeMillis, leastTokens, parts);
  }
}
