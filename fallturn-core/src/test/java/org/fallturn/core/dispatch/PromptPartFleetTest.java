package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * One part of a prompt crashes every engine that runs a request with it. The requests are all
 * different, and share their other parts with sound ones. They come in rounds while engines lose
 * power, connections are reset and nodes restart, and there may be no more than three engines: then
 * all of them are gone at once, and nothing is answered for seconds.
 *
 * <p>No node may send such requests once the settling time has passed since the fifth crash. Sound
 * requests must be sent as before, also if none of their parts was ever answered before the first
 * crash.
 */
class PromptPartFleetTest {

  private static final long PLAYED_MILLIS = 14_000;

  /** There is about one fault in two seconds. */
  private static final int STEPS_A_FAULT = 1_200;

  private static final int MOST_ENGINES_CUT = 3;
  private static final long ROUND_MILLIS = 4_000;
  private static final int CRASHES_TOLERATED = 5;
  private static final int SENDS_TOLERATED = 3;
  private static final int MAX_POISONED = 8;

  /** Sound requests of the same route must begin at least half as often as otherwise. */
  private static final double HELD_BACK_TOLERATED = 0.5;

  @Property(tries = 20, seed = "20261204")
  void partIsHeldBackAndSoundRequestsAreNot(
      @ForAll @IntRange(min = 1, max = 9) int nodes,
      @ForAll @IntRange(min = 3, max = 13) int engines,
      @ForAll long seed) {
    CrashingFleet fleet = new CrashingFleet(seed, nodes, engines);
    play(fleet, new Random(seed), true);
    assertThat(sendsTooLate(fleet)).isLessThanOrEqualTo(SENDS_TOLERATED);
    assertThat(fleet.lateInnocents()).isPositive();
    assertThat(fleet.lateInnocentsHeldBack())
        .isLessThanOrEqualTo((int) (HELD_BACK_TOLERATED * fleet.lateInnocents()));
  }

  @Property(tries = 5, seed = "20261204")
  void partIsHeldBackAfterARestartOfAllNodes(
      @ForAll @IntRange(min = 1, max = 9) int nodes, @ForAll long seed) {
    CrashingFleet fleet = new CrashingFleet(seed, nodes, 13);
    play(fleet, new Random(seed), true);
    int before = fleet.poisonSends().size();
    fleet.restartAll();
    for (int number = 0; number < MAX_POISONED; number++) {
      fleet.poisonPartArrives();
      fleet.stepFor(250);
    }
    assertThat(fleet.poisonSends().size() - before).isLessThanOrEqualTo(SENDS_TOLERATED);
  }

  @Property(tries = 5, seed = "20261204")
  void soundRequestsAreServedThroughCutsAndResets(
      @ForAll @IntRange(min = 1, max = 9) int nodes,
      @ForAll @IntRange(min = 3, max = 13) int engines,
      @ForAll long seed) {
    CrashingFleet fleet = new CrashingFleet(seed, nodes, engines);
    play(fleet, new Random(seed), false);
    assertThat(fleet.innocentsHeldBack()).isZero();
    assertThat(fleet.innocentsAnswered()).isPositive();
  }

  private static long sendsTooLate(CrashingFleet fleet) {
    List<Long> crashes = fleet.poisonCrashes();
    if (crashes.size() < CRASHES_TOLERATED) {
      return 0;
    }
    long bound = crashes.get(CRASHES_TOLERATED - 1) + CrashingFleet.SETTLING_MILLIS;
    return fleet.settledPoisonSends().stream().filter(at -> at > bound).count();
  }

  private static void play(CrashingFleet fleet, Random random, boolean poison) {
    fleet.refuseConnections();
    while (fleet.millis() < PLAYED_MILLIS) {
      if (random.nextInt(2) == 0) {
        fleet.innocentWithPartsArrives();
      }
      if (poison && fleet.millis() % ROUND_MILLIS == 0) {
        int requests = 1 + random.nextInt(MAX_POISONED);
        for (int number = 0; number < requests; number++) {
          fleet.schedule(random.nextInt(1_000), fleet::poisonPartArrives);
        }
      }
      fleet.injectFault(random, STEPS_A_FAULT, MOST_ENGINES_CUT);
      fleet.step();
    }
  }
}
