package org.fallturn.rehearsal.modelcheck;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what simulations went through, to show that their checks had something to check. Owned by
 * one thread; merged afterwards.
 */
public final class Coverage {

  private final Map<String, Long> counts = new TreeMap<>();

  void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }

  void merge(Coverage other) {
    other.counts.forEach((what, count) -> counts.merge(what, count, Long::sum));
  }

  /** How often something happened. */
  public long of(String what) {
    return counts.getOrDefault(what, 0L);
  }

  /** All counts, in the order of their names. */
  public Map<String, Long> counts() {
    return Map.copyOf(counts);
  }

  /** One line for reports. */
  public String summary() {
    StringBuilder text = new StringBuilder();
    counts.forEach((what, count) -> text.append(what).append('=').append(count).append(' '));
    return text.toString().trim();
  }
}
