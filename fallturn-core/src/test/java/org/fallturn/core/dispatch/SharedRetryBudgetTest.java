package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * With an equal part for each node, a node of 71 that alone had failures sent 1.8 requests again in
 * 10 s, and the parts of all others lay unused. Parts go to where they are wanted, and all nodes
 * together still never pass what the operators allow the whole fleet.
 */
class SharedRetryBudgetTest {

  private static final double LOST = 0.05;
  private static final int[] SIZES = {1, 2, 3, 8, 9, 30, 63, 112, 338};

  /** Failures that come and go, at any of the nodes or at all, alone or in bursts. */
  private static BudgetFleet.Rate anyFailures(int nodes, double most, Random random) {
    int period = 1 + random.nextInt(12);
    int kind = random.nextInt(5);
    return (node, seconds) -> {
      int phase = (int) (seconds / period);
      return switch (kind) {
        case 0 -> most / nodes;
        case 1 -> phase % nodes == node ? most : 0;
        case 2 -> phase % 2 == 0 ? 0 : 8 * most / nodes;
        case 3 -> node == 0 ? most : phase % 2 == 0 ? 0.1 : 8 * most / nodes;
        default -> (node + phase) % 3 == 0 ? 3 * most / nodes : 0;
      };
    };
  }

  /** Requests that are even, that end, or that are all at some of the nodes for a while. */
  private static BudgetFleet.Rate anyRequests(int nodes, double all, Random random) {
    int period = 2 + random.nextInt(10);
    int kind = random.nextInt(3);
    return (node, seconds) -> {
      int phase = (int) (seconds / period);
      return switch (kind) {
        case 0 -> all / nodes;
        case 1 -> phase % 3 == 2 ? 0 : all / nodes;
        default -> (node + phase) % 3 == 0 ? 3 * all / nodes : 0;
      };
    };
  }

  /** Nodes are cut into groups, paused, and restarted once a window at most. */
  private static BudgetFleet.Trouble anyTrouble(Random random) {
    double cutFrom = 5 + 10 * random.nextDouble();
    double cutFor = random.nextInt(3) * 4;
    int groups = 2 + random.nextInt(3);
    int paused = random.nextInt(8);
    int restarted = random.nextInt(4);
    double restartFrom = 8 + random.nextInt(10);
    return new BudgetFleet.Trouble() {
      @Override
      public int group(int node, double seconds) {
        if (node % 8 == paused && seconds > 8 && seconds < 11) {
          return -1;
        }
        return seconds >= cutFrom && seconds < cutFrom + cutFor ? node % groups : 0;
      }

      @Override
      public boolean restarts(int node, double seconds) {
        boolean chosen = restarted == 0 || restarted == 1 && node == 0 || node % 7 == restarted;
        return chosen && Math.abs(seconds - restartFrom - 0.01 * (node % 90)) < 0.004;
      }
    };
  }

  @Property(tries = 60, seed = "20261204")
  void windowsStayWithinTheBoundWhateverHappens(@ForAll long seed) {
    Random random = new Random(seed);
    int nodes = SIZES[random.nextInt(SIZES.length)];
    double all = new double[] {0.5, 10, 60, 400}[random.nextInt(4)];
    BudgetFleet fleet = new BudgetFleet(nodes, true, LOST, seed);
    BudgetFleet.Rate failures = anyFailures(nodes, 2 + all * random.nextDouble(), random);
    fleet.play(30, anyRequests(nodes, all, random), failures, anyTrouble(random));
    assertThat(fleet.leastRoom())
        .as("%d nodes, %.1f requests a second", nodes, all)
        .isGreaterThanOrEqualTo(0);
  }

  /** Nine tenths of what all nodes together may repeat. */
  @ParameterizedTest
  @CsvSource({"8,60", "30,60", "71,60", "112,400", "338,400"})
  void nodeThatAloneHasFailuresUsesNearlyAll(int nodes, double all) {
    BudgetFleet fleet = new BudgetFleet(nodes, true, LOST, 2);
    double allowed = 0.8 * 10 * BudgetFleet.RATIO * all + 0.7 * BudgetFleet.SLACK;
    BudgetFleet.Rate failures = (node, seconds) -> node == 0 ? allowed / 3 : 0;
    fleet.play(50, (node, seconds) -> all / nodes, failures, BudgetFleet.Trouble.NONE);
    System.out.println(
        "USES "
            + nodes
            + " "
            + fleet.repeatsPerWindow(10, 50) / allowed
            + " room "
            + fleet.leastRoom());
    assertThat(fleet.repeatsPerWindow(10, 50) / allowed).isGreaterThan(0.9);
    assertThat(fleet.leastRoom()).isGreaterThanOrEqualTo(0);
  }

  /** Where all want the same, nobody waits for what others leave. */
  @ParameterizedTest
  @CsvSource({"8,60", "71,60", "71,400"})
  void nodesThatAllHaveFailuresUseAsMuchAsWithEqualParts(int nodes, double all) {
    double allowed = 0.8 * 10 * BudgetFleet.RATIO * all + 0.7 * BudgetFleet.SLACK;
    double[] used = new double[2];
    for (int way = 0; way < 2; way++) {
      BudgetFleet fleet = new BudgetFleet(nodes, way == 1, LOST, 3);
      fleet.play(
          40,
          (node, seconds) -> all / nodes,
          (node, seconds) -> allowed / 3 / nodes,
          BudgetFleet.Trouble.NONE);
      used[way] = fleet.repeatsPerWindow(10, 40);
    }
    assertThat(used[1]).isGreaterThan(0.9 * used[0]);
  }
}
