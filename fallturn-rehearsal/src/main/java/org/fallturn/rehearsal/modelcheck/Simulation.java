package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Simulated time and network. Everything that happens is an event in one queue, and every choice
 * comes from one seed, so that a run can be repeated exactly. Single-threaded.
 */
final class Simulation {

  private static final double SLOW_SHARE = 0.02;
  private static final long MIN_DELAY_NANOS = Duration.ofMillis(1).toNanos();
  private static final long MAX_DELAY_NANOS = Duration.ofMillis(30).toNanos();
  private static final long MAX_SLOW_NANOS = Duration.ofSeconds(12).toNanos();

  private final SplittableRandom random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Trace trace = new Trace();
  private final Set<String> cuts = new HashSet<>();
  private final Set<String> slowLinks = new HashSet<>();
  private final double lossShare;
  private final double doubledShare;
  private long nowNanos;
  private long sequence;
  private Runnable check = () -> {};

  Simulation(long seed) {
    random = new SplittableRandom(seed);
    lossShare = random.nextDouble(0.08);
    doubledShare = random.nextDouble(0.05);
  }

  RandomGenerator random() {
    return random;
  }

  long now() {
    return nowNanos;
  }

  void trace(Supplier<String> line) {
    trace.add(nowNanos, line);
  }

  java.util.List<String> traceLines() {
    return trace.lines();
  }

  /** What is checked after each event. */
  void checkAfterEachEvent(Runnable invariants) {
    check = invariants;
  }

  boolean chance(double share) {
    return random.nextDouble() < share;
  }

  long between(Duration least, Duration most) {
    return random.nextLong(least.toNanos(), most.toNanos() + 1);
  }

  void after(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, sequence++, action));
  }

  /** Runs until the time is over. */
  void run(Duration length) {
    long end = length.toNanos();
    while (!events.isEmpty() && events.peek().atNanos <= end) {
      Event event = events.poll();
      nowNanos = event.atNanos;
      event.action.run();
      check.run();
    }
  }

  // Network.

  void cut(String from, String to) {
    cuts.add(from + ">" + to);
  }

  void heal(String from, String to) {
    cuts.remove(from + ">" + to);
  }

  boolean isCut(String from, String to) {
    return !cuts.isEmpty() && cuts.contains(from + ">" + to);
  }

  void slow(String from, String to) {
    slowLinks.add(from + ">" + to);
  }

  void speedUp(String from, String to) {
    slowLinks.remove(from + ">" + to);
  }

  private boolean isSlow(String from, String to) {
    return !slowLinks.isEmpty() && slowLinks.contains(from + ">" + to);
  }

  /** Delivers a message after a while: perhaps never, perhaps twice, perhaps very late. */
  void send(String from, String to, Runnable delivery) {
    if (isCut(from, to) || chance(lossShare)) {
      return;
    }
    after(delay(from, to), delivery);
    if (chance(doubledShare)) {
      after(delay(from, to), delivery);
    }
  }

  /** Like {@link #send}, but never twice: a request over one connection. */
  void sendOnce(String from, String to, Runnable delivery) {
    if (!isCut(from, to) && !chance(lossShare)) {
      after(delay(from, to), delivery);
    }
  }

  private long delay(String from, String to) {
    long most = isSlow(from, to) || chance(SLOW_SHARE) ? MAX_SLOW_NANOS : MAX_DELAY_NANOS;
    return random.nextLong(MIN_DELAY_NANOS, most);
  }

  private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
