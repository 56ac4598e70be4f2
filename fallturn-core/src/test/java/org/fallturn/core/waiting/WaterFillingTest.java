package org.fallturn.core.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.fallturn.core.waiting.WaterFilling.EngineFill;
import org.junit.jupiter.api.Test;

/**
 * Compares water-filling with two other load balancing policies when all nodes decide on the same
 * outdated load reports.
 */
class WaterFillingTest {

  private static final int ENGINES = 3;
  private static final int SLOTS = 6;
  private static final int QUEUE = 24;
  private static final double WORK_MILLIS = 43;
  private static final int REPORT_INTERVAL_MILLIS = 100;
  private static final int BURST_MILLIS = 4_000;
  private static final double BURST_REQUESTS_PER_MILLI = 0.42;

  private interface Choice {
    int of(int[] reported, Random random);
  }

  private static int leastLoaded(int[] reported, Random random) {
    return lessLoaded(reported, lessLoaded(reported, 0, 1), 2);
  }

  private static int twoChoices(int[] reported, Random random) {
    int one = random.nextInt(ENGINES);
    return lessLoaded(reported, one, (one + 1 + random.nextInt(ENGINES - 1)) % ENGINES);
  }

  private static int waterFilling(int[] reported, Random random) {
    List<EngineFill> fills = new ArrayList<>();
    int present = 0;
    for (int running : reported) {
      fills.add(new EngineFill((double) running / SLOTS, SLOTS));
      present += running;
    }
    double unseen = present * REPORT_INTERVAL_MILLIS / WORK_MILLIS;
    return WaterFilling.choose(fills, unseen, random.nextDouble());
  }

  private static int lessLoaded(int[] reported, int one, int other) {
    return reported[other] < reported[one] ? other : one;
  }

  /**
   * Returns how many requests of a burst are rejected by full engines although the engines together
   * could take them.
   */
  private static int rejected(Choice choice) {
    Random random = new Random(7);
    int[] present = new int[ENGINES];
    List<PriorityQueue<Double>> free = new ArrayList<>();
    List<PriorityQueue<Double>> ends = new ArrayList<>();
    for (int engine = 0; engine < ENGINES; engine++) {
      free.add(new PriorityQueue<>(Collections.nCopies(SLOTS, 0.0)));
      ends.add(new PriorityQueue<>());
    }
    int[] sent = present.clone();
    int[] reported = present.clone();
    int rejected = 0;
    for (int now = 0; now < BURST_MILLIS; now++) {
      for (int engine = 0; engine < ENGINES; engine++) {
        while (!ends.get(engine).isEmpty() && ends.get(engine).peek() <= now) {
          ends.get(engine).poll();
          present[engine]--;
        }
      }
      if (now % REPORT_INTERVAL_MILLIS == 0) {
        reported = sent;
        sent = present.clone();
      }
      if (random.nextDouble() >= BURST_REQUESTS_PER_MILLI) {
        continue;
      }
      int engine = choice.of(reported, random);
      if (present[engine] >= SLOTS + QUEUE) {
        rejected++;
        continue;
      }
      present[engine]++;
      double work = WORK_MILLIS * (0.5 + random.nextDouble());
      double end = Math.max(now, free.get(engine).poll()) + work;
      free.get(engine).add(end);
      ends.get(engine).add(end);
    }
    return rejected;
  }

  /**
   * Guards against a herd effect. In a burst of three times the usual load, a hundred nodes with
   * the same outdated load reports chose the engine that had been least loaded. Of three engines
   * with capacity for thirty requests each, the full ones rejected requests while others had free
   * capacity, and each rejection used up a part of the retry budget.
   */
  @Test
  void nodesWithTheSameOutdatedReportDoNotOverfillOneEngine() {
    int least = rejected(WaterFillingTest::leastLoaded);
    int two = rejected(WaterFillingTest::twoChoices);
    int filled = rejected(WaterFillingTest::waterFilling);
    assertThat(filled)
        .as(
            "rejected: %s by water-filling, %s by two choices, %s by least load",
            filled, two, least)
        .isLessThan(two / 3)
        .isLessThan(least / 10);
  }

  @Test
  void fillsEmptierEnginesUpToTheLevelOfTheOthers() {
    List<EngineFill> fills =
        List.of(new EngineFill(2, 6), new EngineFill(0, 6), new EngineFill(1, 3));
    assertThat(WaterFilling.commonLevel(fills, 6)).isEqualTo(1);
    assertThat(WaterFilling.commonLevel(fills, 30)).isEqualTo(3);
    assertThat(WaterFilling.choose(fills, 6, 0.99)).isEqualTo(1);
  }
}
