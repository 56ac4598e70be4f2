package org.fallturn.core.domain;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits a prompt into tokens and names its prefixes by chained hashes, one for each full block of
 * {@value #TOKENS_PER_BLOCK} tokens. Node and engine agree on this published format, so that a
 * leader can tell which engine holds the longest prefix. The scope is mixed into the chain: equal
 * prompts of different scopes never share a hash.
 */
public final class PrefixBlocks {

  /** Tokens in one cache block. */
  public static final int TOKENS_PER_BLOCK = 16;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private PrefixBlocks() {}

  /** Tokens of a text: its words, split at white space. Empty text has none. */
  public static List<String> tokens(String text) {
    List<String> tokens = new ArrayList<>();
    int start = -1;
    for (int index = 0; index <= text.length(); index++) {
      boolean gap = index == text.length() || Character.isWhitespace(text.charAt(index));
      if (gap && start >= 0) {
        tokens.add(text.substring(start, index));
        start = -1;
      } else if (!gap && start < 0) {
        start = index;
      }
    }
    return tokens;
  }

  /** Hash of each full block's prefix, shortest first. */
  public static List<Long> hashes(String cacheScope, List<String> tokens) {
    List<Long> hashes = new ArrayList<>(tokens.size() / TOKENS_PER_BLOCK);
    long hash = mix(FNV_OFFSET, cacheScope);
    for (int index = 0; index < tokens.size(); index++) {
      hash = mix(hash, tokens.get(index));
      if ((index + 1) % TOKENS_PER_BLOCK == 0) {
        hashes.add(hash);
      }
    }
    return hashes;
  }

  private static long mix(long seed, String text) {
    long hash = seed;
    for (int index = 0; index < text.length(); index++) {
      hash = (hash ^ text.charAt(index)) * FNV_PRIME;
    }
    return (hash ^ '\n') * FNV_PRIME;
  }
}
