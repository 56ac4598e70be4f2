package org.fallturn.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Remembers for a few seconds how many requests an engine had, so that a lagging report can be
 * compared with the count of the moment it describes.
 */
final class CountHistory {
  private static final long KEPT_NANOS = 5_000_000_000L;
  private static final int MAX_ENTRIES = 512;

  private final Deque<Entry> entries = new ArrayDeque<>();

  void record(long nowNanos, int count) {
    entries.addLast(new Entry(nowNanos, count));
    while (entries.size() > MAX_ENTRIES || entries.size() > 1 && isSuperseded(nowNanos)) {
      entries.removeFirst();
    }
  }

  /** The highest count at any moment from {@code sinceNanos} until {@code untilNanos}. */
  int highestBetween(long sinceNanos, long untilNanos) {
    int highest = 0;
    Iterator<Entry> newestFirst = entries.descendingIterator();
    while (newestFirst.hasNext()) {
      Entry entry = newestFirst.next();
      if (entry.nanos <= untilNanos) {
        highest = Math.max(highest, entry.count);
      }
      if (entry.nanos <= sinceNanos) {
        break;
      }
    }
    return highest;
  }

  private boolean isSuperseded(long nowNanos) {
    Iterator<Entry> oldestFirst = entries.iterator();
    oldestFirst.next();
    return oldestFirst.next().nanos < nowNanos - KEPT_NANOS;
  }

  private record Entry(long nanos, int count) {}
}
