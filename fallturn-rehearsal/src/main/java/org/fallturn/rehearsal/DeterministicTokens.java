package org.fallturn.rehearsal;

import java.util.ArrayList;
import java.util.List;

/**
 * The answer that every stand-in engine gives to a prompt: its tokens are a function of prompt and
 * index, its length a function of prompt and token limit. Whoever knows the prompt can check every
 * byte of an answer. Immutable; any thread may call.
 */
public final class DeterministicTokens {

  private static final int VOCABULARY_BITS = 12;
  private static final String[] VOCABULARY = vocabulary();
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final int EARLY_END_ONE_IN = 4;

  private final long seed;

  /** The tokens that answer a prompt. */
  public DeterministicTokens(String prompt) {
    long hash = FNV_OFFSET;
    for (int index = 0; index < prompt.length(); index++) {
      hash = (hash ^ prompt.charAt(index)) * FNV_PRIME;
    }
    this.seed = scramble(hash);
  }

  /** The token at an index; text with a leading space. */
  public String token(int index) {
    long mixed = scramble(seed + (index + 1) * GOLDEN_GAMMA);
    return VOCABULARY[(int) (mixed >>> (Long.SIZE - VOCABULARY_BITS))];
  }

  /** Tokens from an index on. */
  public List<String> tokens(int from, int count) {
    List<String> tokens = new ArrayList<>(count);
    for (int index = from; index < from + count; index++) {
      tokens.add(token(index));
    }
    return tokens;
  }

  /**
   * Tokens in the whole answer: three prompts of four use up the limit, the others end by
   * themselves somewhere in its second half.
   */
  public int length(int maxTokens) {
    if (Long.remainderUnsigned(seed, EARLY_END_ONE_IN) != 0) {
      return maxTokens;
    }
    int half = maxTokens / 2;
    long drop = Long.remainderUnsigned(seed >>> 2, half + 1L);
    return Math.max(Math.min(1, maxTokens), maxTokens - (int) drop);
  }

  /** The whole answer as text. */
  public String answer(int maxTokens) {
    int length = length(maxTokens);
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < length; index++) {
      text.append(token(index));
    }
    return text.toString();
  }

  private static long scramble(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  private static String[] vocabulary() {
    String consonants = "bdfgklmnprstvzjh";
    String vowels = "aeiou";
    String[] words = new String[1 << VOCABULARY_BITS];
    for (int index = 0; index < words.length; index++) {
      StringBuilder word = new StringBuilder(" ");
      for (int rest = index, part = 0; part < 3; part++) {
        word.append(consonants.charAt(rest % consonants.length()));
        word.append(vowels.charAt((index + part) % vowels.length()));
        rest /= consonants.length();
      }
      words[index] = word.toString();
    }
    return words;
  }
}
