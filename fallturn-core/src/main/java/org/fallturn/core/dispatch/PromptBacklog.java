package org.fallturn.core.dispatch;

import java.util.Arrays;
import java.util.List;

/**
 * The prompt tokens that wait to be read at one engine, by the {@link Urgency} level of their
 * requests. A request waits only for those of its own level and of lower (more urgent) levels.
 * Confined to one thread.
 */
final class PromptBacklog {

  private final long[] tokens = new long[Urgency.LEVELS];

  void add(int level, long count) {
    tokens[level] += count;
  }

  /** Adds the tokens that {@link #toList} returned. */
  void addAll(List<Long> byLevel) {
    int known = Math.min(tokens.length, byLevel.size());
    for (int level = 0; level < known; level++) {
      tokens[level] += byLevel.get(level);
    }
  }

  /**
   * Returns the tokens that are read before a request of a level.
   *
   * @param last the level of the request; its own tokens count
   */
  long upTo(int last) {
    long sum = 0;
    for (int level = 0; level <= last; level++) {
      sum += tokens[level];
    }
    return sum;
  }

  /** Returns the tokens by level, without the zeros at the end. */
  List<Long> toList() {
    int length = tokens.length;
    while (length > 0 && tokens[length - 1] == 0) {
      length--;
    }
    return Arrays.stream(tokens, 0, length).boxed().toList();
  }
}
