package org.fallturn.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/** A pool's capacity as others see it: as it was some time ago. */
final class DelayedCapacity {
  private final long lagNanos;
  private final Deque<Entry> entries = new ArrayDeque<>();

  DelayedCapacity(long lagNanos) {
    this.lagNanos = lagNanos;
  }

  void record(PoolCapacity capacity, long nowNanos) {
    entries.addLast(new Entry(nowNanos, capacity));
    visible(nowNanos);
  }

  /** What is visible now; a pool with nothing free while nothing is. */
  PoolCapacity visible(long nowNanos) {
    while (entries.size() > 1 && second().nanos <= nowNanos - lagNanos) {
      entries.removeFirst();
    }
    Entry first = entries.peekFirst();
    boolean old = first != null && first.nanos <= nowNanos - lagNanos;
    return old ? first.capacity : new PoolCapacity(0, 0, 0, 0, 0);
  }

  private Entry second() {
    var oldestFirst = entries.iterator();
    oldestFirst.next();
    return oldestFirst.next();
  }

  private record Entry(long nanos, PoolCapacity capacity) {}
}
