package org.fallturn.core.dispatch;

import java.util.Arrays;
import java.util.List;

/**
 * Prompt tokens that wait to be read at one engine, by the urgency of their requests: a request
 * waits only for those that are as urgent or more so. One thread calls.
 */
final class PromptBacklog {

  private final long[] tokens = new long[Urgency.LEVELS];

  void add(int urgency, long count) {
    tokens[urgency] += count;
  }

  /** Adds what {@link #toList} gave. */
  void addAll(List<Long> byUrgency) {
    int known = Math.min(tokens.length, byUrgency.size());
    for (int urgency = 0; urgency < known; urgency++) {
      tokens[urgency] += byUrgency.get(urgency);
    }
  }

  /** Tokens that go before a request of this urgency. */
  long upTo(int urgency) {
    long sum = 0;
    for (int level = 0; level <= urgency; level++) {
      sum += tokens[level];
    }
    return sum;
  }

  long total() {
    return upTo(Urgency.LEVELS - 1);
  }

  /** Tokens by urgency, without the zeros at the end. */
  List<Long> toList() {
    int length = tokens.length;
    while (length > 0 && tokens[length - 1] == 0) {
      length--;
    }
    return Arrays.stream(tokens, 0, length).boxed().toList();
  }
}
