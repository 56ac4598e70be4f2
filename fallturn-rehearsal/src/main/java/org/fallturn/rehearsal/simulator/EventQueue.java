package org.fallturn.rehearsal.simulator;

import java.util.PriorityQueue;

/**
 * Events in order of time; events of equal time run in the order they were added, so that a run is
 * the same each time. Not thread-safe.
 */
final class EventQueue {
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long added;
  private long processed;

  /** Time of the event that runs now. */
  long nowNanos() {
    return nowNanos;
  }

  /** Events run so far. */
  long processed() {
    return processed;
  }

  /** Adds an event; one in the past runs now. */
  void at(long timeNanos, Runnable action) {
    events.add(new Event(Math.max(timeNanos, nowNanos), added++, action));
  }

  /** Adds an event after a delay. */
  void after(long delayNanos, Runnable action) {
    at(nowNanos + delayNanos, action);
  }

  /** Runs events until none is left before a time. */
  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().timeNanos < endNanos) {
      Event event = events.poll();
      nowNanos = event.timeNanos;
      processed++;
      event.action.run();
    }
  }

  private record Event(long timeNanos, long sequence, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
