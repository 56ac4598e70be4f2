package org.fallturn.core.dispatch;

import java.util.Arrays;
import java.util.List;

/**
 * Prompt tokens that wait to be read at one engine, by the {@link Urgency} level of their requests:
 * a request waits only for those of its own level and of those before it. One thread calls.
 */
final class PromptBacklog {

  private final long[] tokens = new long[Urgency.LEVELS];

  void add(int level, long count) {
    tokens[level] += count;
  }

  /** Adds what {@link #toList} gave. */
  void addAll(List<Long> byLevel) {
    int known = Math.min(tokens.length, byLevel.size());
    for (int level = 0; level < known; level++) {
      tokens[level] += byLevel.get(level);
    }
  }

  /** Tokens that go before a request of a level. */
  long upTo(int last) {
    long sum = 0;
    for (int level = 0; level <= last; level++) {
      sum += tokens[level];
    }
    return sum;
  }

  /** Tokens by level, without the zeros at the end. */
  List<Long> toList() {
    int length = tokens.length;
    while (length > 0 && tokens[length - 1] == 0) {
      length--;
    }
    return Arrays.stream(tokens, 0, length).boxed().toList();
  }
}
