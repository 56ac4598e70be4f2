package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The faults of one run, drawn from its seed: lanes of faults that follow each other with pauses,
 * so that as many hold at once as there are lanes. The last seconds are calm. Immutable.
 *
 * @param seed what it was drawn from
 * @param faults in order of their begin
 * @param length of the whole run
 */
record SoakSchedule(long seed, List<Entry> faults, Duration length) {

  /** After the last fault the fleet must serve as before. */
  static final Duration CALM = Duration.ofSeconds(12);

  private static final int SHORTEST_MILLIS = 1_500;
  private static final int LONGEST_MILLIS = 6_000;

  /** Longer than a gateway takes to start, and to follow the store again. */
  private static final int PAUSE_MILLIS = 3_000;

  /**
   * One fault.
   *
   * @param fault its kind
   * @param target index among the things of its kind
   */
  record Entry(Duration begin, Duration end, SoakFault fault, int target) {

    @Override
    public String toString() {
      return String.format("%6d to %6d ms  %s %d", begin.toMillis(), end.toMillis(), fault, target);
    }
  }

  static SoakSchedule draw(long seed, Duration length) {
    Random random = new Random(seed);
    List<Entry> entries = new ArrayList<>();
    for (SoakFault.Lane lane : SoakFault.Lane.values()) {
      addLane(entries, lane, random, length.minus(CALM).toMillis());
    }
    entries.sort(Comparator.comparing(Entry::begin));
    return new SoakSchedule(seed, List.copyOf(entries), length);
  }

  private static void addLane(
      List<Entry> entries, SoakFault.Lane lane, Random random, long untilMillis) {
    List<SoakFault> kinds = SoakFault.of(lane);
    long begin = PAUSE_MILLIS + random.nextInt(PAUSE_MILLIS);
    while (true) {
      int lasts = SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS - SHORTEST_MILLIS);
      long end = begin + lane.lastsMillis(lasts);
      if (end > untilMillis) {
        return;
      }
      SoakFault kind = kinds.get(random.nextInt(kinds.size()));
      int target = random.nextInt(Integer.MAX_VALUE);
      entries.add(new Entry(Duration.ofMillis(begin), Duration.ofMillis(end), kind, target));
      begin = end + PAUSE_MILLIS + random.nextInt(PAUSE_MILLIS);
    }
  }
}
