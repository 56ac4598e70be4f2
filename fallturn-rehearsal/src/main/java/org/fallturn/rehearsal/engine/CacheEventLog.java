package org.fallturn.rehearsal.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.CacheEvents.CacheEvent;

/**
 * Numbered cache events that are given out late and are sometimes lost: a loss drops all kept
 * events, so that a follower behind it sees a gap. Not thread-safe.
 */
final class CacheEventLog {

  private static final int KEPT = 4096;
  private static final int MAX_EVENTS_PER_ANSWER = 512;

  private final long lagNanos;
  private final int lossOneIn;
  private final RandomGenerator random;
  private final Deque<Entry> kept = new ArrayDeque<>();
  private long last;

  private record Entry(long number, long atNanos, CacheEvent event) {}

  CacheEventLog(long lagNanos, int lossOneIn, RandomGenerator random) {
    this.lagNanos = lagNanos;
    this.lossOneIn = lossOneIn;
    this.random = random;
  }

  void append(CacheEvent.Kind kind, List<Long> blocks, long nowNanos) {
    if (blocks.isEmpty()) {
      return;
    }
    last++;
    if (lossOneIn > 0 && random.nextInt(lossOneIn) == 0) {
      kept.clear();
      return;
    }
    kept.addLast(new Entry(last, nowNanos, new CacheEvent(kind, blocks)));
    if (kept.size() > KEPT) {
      kept.removeFirst();
    }
  }

  /** Events after a number that are old enough to be given out. */
  CacheEvents after(long after, long incarnation, long nowNanos) {
    List<CacheEvent> events = new ArrayList<>();
    long first = after + 1;
    for (Entry entry : kept) {
      if (events.size() == MAX_EVENTS_PER_ANSWER || nowNanos - entry.atNanos() < lagNanos) {
        break;
      }
      if (entry.number() > after) {
        first = events.isEmpty() ? entry.number() : first;
        events.add(entry.event());
      }
    }
    return new CacheEvents(incarnation, first, events);
  }
}
