package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One request content (the poison) crashes every engine that runs it. It arrives in rounds of
 * several copies at once, while engines lose power, connections are reset and nodes restart. In the
 * recorded incident it crashed 23 engines in four rounds.
 *
 * <p>No node may send the poison once the settling time has passed since the third crash, and no
 * other request may be taken for it. A node that has just started knows nothing yet, so the
 * settling time also counts from its start: in all 59 of 120 runs with two seeds in which sends
 * counted as too late, a lone node had started less than the settling time before each of them.
 */
class QuarantineFleetTest {

  private static final long PLAYED_MILLIS = 9_000;

  /** There is about one fault in a second. */
  private static final int STEPS_A_FAULT = 600;

  private static final int MOST_ENGINES_CUT = 4;
  private static final long ROUND_MILLIS = 4_000;
  private static final int CRASHES_TOLERATED = 3;
  private static final int SENDS_TOLERATED = 3;
  private static final int MAX_COPIES = 4;

  @Property(tries = 30, seed = "20261202")
  void poisonIsHeldBackAndNothingElse(
      @ForAll @IntRange(min = 1, max = 9) int nodes, @ForAll long seed) {
    CrashingFleet fleet = new CrashingFleet(seed, nodes, 13);
    play(fleet, new Random(seed), true);
    assertThat(sendsTooLate(fleet)).isLessThanOrEqualTo(SENDS_TOLERATED);
    assertThat(fleet.innocentsHeldBack()).isZero();
  }

  @Property(tries = 8, seed = "20261202")
  void innocentsAreServedThroughCutsAndResetsWithoutAnyPoison(
      @ForAll @IntRange(min = 1, max = 9) int nodes, @ForAll long seed) {
    CrashingFleet fleet = new CrashingFleet(seed, nodes, 13);
    play(fleet, new Random(seed), false);
    assertThat(fleet.innocentsHeldBack()).isZero();
    assertThat(fleet.innocentsAnswered()).isPositive();
  }

  /**
   * Guards against taking a broken connection for a crash until the engine was heard again half a
   * second later. On a day on which engines broke off some of their answers, this put 23 contents
   * into quarantine and two requests were refused.
   */
  @Property(tries = 8, seed = "20261202")
  void enginesThatBreakOffAnswersBringNobodyUnderSuspicion(
      @ForAll @IntRange(min = 1, max = 9) int nodes, @ForAll long seed) {
    CrashingFleet fleet = new CrashingFleet(seed, nodes, 13);
    fleet.breakAnswers(0.4);
    while (fleet.millis() < PLAYED_MILLIS) {
      if (fleet.millis() % 10 == 0) {
        fleet.innocentArrives();
      }
      fleet.step();
    }
    assertThat(fleet.suspicions()).isZero();
  }

  @Property(tries = 8, seed = "20261202")
  void poisonIsHeldBackAfterARestartOfAllNodes(
      @ForAll @IntRange(min = 1, max = 9) int nodes, @ForAll long seed) {
    CrashingFleet fleet = new CrashingFleet(seed, nodes, 13);
    play(fleet, new Random(seed), true);
    int before = fleet.poisonSends().size();
    fleet.restartAll();
    fleet.poisonArrives();
    fleet.stepFor(1_000);
    assertThat(fleet.poisonSends()).hasSize(before);
  }

  /**
   * A lone node that restarts loses its suspicions, and no other node reports them to it, so that
   * it counts the crashes anew. In 6 of some 750 such runs, 4 to 6 sends came too late.
   */
  @ParameterizedTest
  @ValueSource(
      longs = {
        5540539463375678074L,
        7617647988982395617L,
        -8049774261499875565L,
        -4413492368339739610L,
        2805720589411083473L,
        4017895286629994207L,
        -2289818681269534918L
      })
  void loneNodeThatIsRestartedHoldsThePoisonBack(long seed) {
    CrashingFleet fleet = new CrashingFleet(seed, 1, 13);
    play(fleet, new Random(seed), true);
    assertThat(sendsTooLate(fleet)).isLessThanOrEqualTo(SENDS_TOLERATED);
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
    while (fleet.millis() < PLAYED_MILLIS) {
      if (random.nextInt(2) == 0) {
        fleet.innocentArrives();
      }
      if (poison && fleet.millis() % ROUND_MILLIS == 0) {
        int copies = 1 + random.nextInt(MAX_COPIES);
        for (int copy = 0; copy < copies; copy++) {
          fleet.schedule(random.nextInt(300), fleet::poisonArrives);
        }
      }
      fleet.injectFault(random, STEPS_A_FAULT, MOST_ENGINES_CUT);
      fleet.step();
    }
  }
}
