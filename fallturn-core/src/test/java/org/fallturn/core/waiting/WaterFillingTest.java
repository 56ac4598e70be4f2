package org.fallturn.core.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.fallturn.core.waiting.WaterFilling.EngineFill;
import org.junit.jupiter.api.Test;

class WaterFillingTest {

  private static final int ENGINES = 3;
  private static final int SLOTS = 6;
  private static final int QUEUE = 24;
  private static final double WORK_MILLIS = 43;
  private static final int TURN_MILLIS = 100;
  private static final int FLOOD_MILLIS = 4_000;
  private static final double FLOOD_PER_MILLI = 0.42;

  private interface Choice {
    int of(int[] heard, Random random);
  }

  private static int leastLoaded(int[] heard, Random random) {
    return leaner(heard, leaner(heard, 0, 1), 2);
  }

  private static int twoChoices(int[] heard, Random random) {
    int one = random.nextInt(ENGINES);
    return leaner(heard, one, (one + 1 + random.nextInt(ENGINES - 1)) % ENGINES);
  }

  private static int evenFill(int[] heard, Random random) {
    List<EngineFill> vessels = new ArrayList<>();
    int present = 0;
    for (int running : heard) {
      vessels.add(new EngineFill((double) running / SLOTS, SLOTS));
      present += running;
    }
    double unseen = present * TURN_MILLIS / WORK_MILLIS;
    return WaterFilling.choose(vessels, unseen, random.nextDouble());
  }

  private static int leaner(int[] heard, int one, int other) {
    return heard[other] < heard[one] ? other : one;
  }

  /** How many are turned away by full engines of a flood that they have room for. */
  private static int turnedAway(Choice choice) {
    Random random = new Random(7);
    int[] present = new int[ENGINES];
    List<PriorityQueue<Double>> free = new ArrayList<>();
    List<PriorityQueue<Double>> ends = new ArrayList<>();
    for (int engine = 0; engine < ENGINES; engine++) {
      free.add(new PriorityQueue<>(Collections.nCopies(SLOTS, 0.0)));
      ends.add(new PriorityQueue<>());
    }
    int[] told = present.clone();
    int[] heard = present.clone();
    int turnedAway = 0;
    for (int now = 0; now < FLOOD_MILLIS; now++) {
      for (int engine = 0; engine < ENGINES; engine++) {
        while (!ends.get(engine).isEmpty() && ends.get(engine).peek() <= now) {
          ends.get(engine).poll();
          present[engine]--;
        }
      }
      if (now % TURN_MILLIS == 0) {
        heard = told;
        told = present.clone();
      }
      if (random.nextDouble() >= FLOOD_PER_MILLI) {
        continue;
      }
      int engine = choice.of(heard, random);
      if (present[engine] >= SLOTS + QUEUE) {
        turnedAway++;
        continue;
      }
      present[engine]++;
      double work = WORK_MILLIS * (0.5 + random.nextDouble());
      double end = Math.max(now, free.get(engine).poll()) + work;
      free.get(engine).add(end);
      ends.get(engine).add(end);
    }
    return turnedAway;
  }

  /**
   * A flood of three times the load hit three engines with room for thirty requests each, and a
   * hundred nodes, which all hear the same old word, took the one that had been emptiest: full
   * engines turned requests away while others had room, and each of these cost a part of the budget
   * of repeats.
   */
  @Test
  void nodesWithTheSameOldWordDoNotOverfillOneEngine() {
    int least = turnedAway(WaterFillingTest::leastLoaded);
    int two = turnedAway(WaterFillingTest::twoChoices);
    int even = turnedAway(WaterFillingTest::evenFill);
    assertThat(even)
        .as("turned away: %s evenly, %s by two choices, %s by least load", even, two, least)
        .isLessThan(two / 3)
        .isLessThan(least / 10);
  }

  @Test
  void fillsTheEmptierUpToTheLevelOfTheOthers() {
    List<EngineFill> vessels =
        List.of(new EngineFill(2, 6), new EngineFill(0, 6), new EngineFill(1, 3));
    assertThat(WaterFilling.commonLevel(vessels, 6)).isEqualTo(1);
    assertThat(WaterFilling.commonLevel(vessels, 30)).isEqualTo(3);
    assertThat(WaterFilling.choose(vessels, 6, 0.99)).isEqualTo(1);
  }
}
