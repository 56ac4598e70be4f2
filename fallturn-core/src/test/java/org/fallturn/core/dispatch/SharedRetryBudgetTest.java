package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that nodes use the shares of the retry budget that others leave, and that all nodes
 * together stay within the bound that the operators set for the fleet. With equal shares, one node
 * of 71 that alone had failures could repeat only 1.8 requests in 10 s, while the shares of the
 * others were unused.
 */
class SharedRetryBudgetTest {

  private static final double LOST = 0.05;
  private static final int[] SIZES = {1, 2, 3, 8, 9, 30, 63, 112, 338};

  /** Failures at one node, a third of them or all, steady, in bursts or moving between nodes. */
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

  /** Requests that arrive evenly, pause at times, or arrive at a third of the nodes at a time. */
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

  /** Nodes are partitioned into groups, paused, and restarted at most once per window. */
  private static BudgetFleet.Faults anyFaults(Random random) {
    double partitionedFrom = 5 + 10 * random.nextDouble();
    double partitionedFor = random.nextInt(3) * 4;
    int groups = 2 + random.nextInt(3);
    int paused = random.nextInt(8);
    int restarted = random.nextInt(4);
    double restartFrom = 8 + random.nextInt(10);
    return new BudgetFleet.Faults() {
      @Override
      public int group(int node, double seconds) {
        if (node % 8 == paused && seconds > 8 && seconds < 11) {
          return -1;
        }
        return seconds >= partitionedFrom && seconds < partitionedFrom + partitionedFor
            ? node % groups
            : 0;
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
    fleet.simulate(30, anyRequests(nodes, all, random), failures, anyFaults(random));
    assertThat(fleet.leastMargin())
        .as("%d nodes, %.1f requests a second", nodes, all)
        .isGreaterThanOrEqualTo(0);
  }

  /**
   * Processes are killed again and again, some of them within a second of their start. Each new
   * process took three tenths of its node's share of the slack at once, so that the fourth within a
   * window took what the bound leaves to none.
   */
  @ParameterizedTest
  @CsvSource({"1,10,3", "8,1,2", "8,3,1", "8,10,3", "8,60,2", "66,10,3", "66,60,1"})
  void windowsStayWithinTheBoundWhenProcessesRestartAgainAndAgain(
      int nodes, double all, double pauseSeconds) {
    BudgetFleet fleet = new BudgetFleet(nodes, true, LOST, 4);
    double failures = 2 * BudgetFleet.SLACK / nodes;
    BudgetFleet.Faults kills = kills(15, pauseSeconds);
    fleet.simulate(40, (node, seconds) -> all / nodes, (node, seconds) -> failures, kills);
    assertThat(fleet.leastMargin()).isGreaterThanOrEqualTo(0);
  }

  /** Kills of all processes, one after the other and again and again, for 15 s. */
  private static BudgetFleet.Faults kills(double fromSeconds, double pauseSeconds) {
    return new BudgetFleet.Faults() {
      @Override
      public int group(int node, double seconds) {
        return 0;
      }

      @Override
      public boolean restarts(int node, double seconds) {
        double sinceKill = (seconds + 0.01 * (node % 20)) % pauseSeconds;
        return seconds > fromSeconds && seconds < fromSeconds + 15 && sinceKill < 0.009;
      }
    };
  }

  /**
   * A process without a predecessor uses its share at once and may be killed just after that. Its
   * successors must not take a second share within the same window.
   */
  @ParameterizedTest
  @CsvSource({"1,10,3", "8,1,2", "8,3,1", "8,60,2", "66,10,3", "66,60,1"})
  void windowsStayWithinTheBoundWhenProcessesOfAFirstStartAreKilledSoon(
      int nodes, double all, double pauseSeconds) {
    BudgetFleet fleet = new BudgetFleet(nodes, true, LOST, 5).startingForTheFirstTime();
    double failures = 2 * BudgetFleet.SLACK / nodes;
    BudgetFleet.Faults kills = kills(0.5, pauseSeconds);
    fleet.simulate(20, (node, seconds) -> all / nodes, (node, seconds) -> failures, kills);
    assertThat(fleet.leastMargin()).isGreaterThanOrEqualTo(0);
  }

  /** A node that alone has failures uses nine tenths of what all nodes together may repeat. */
  @ParameterizedTest
  @CsvSource({"8,60", "30,60", "71,60", "112,400", "338,400"})
  void nodeThatAloneHasFailuresUsesNearlyTheWholeBudget(int nodes, double all) {
    BudgetFleet fleet = new BudgetFleet(nodes, true, LOST, 2);
    double allowed = 0.8 * 10 * BudgetFleet.RATIO * all + 0.7 * BudgetFleet.SLACK;
    BudgetFleet.Rate failures = (node, seconds) -> node == 0 ? allowed / 3 : 0;
    fleet.simulate(50, (node, seconds) -> all / nodes, failures, BudgetFleet.Faults.NONE);
    assertThat(fleet.repeatsPerWindow(10, 50) / allowed).isGreaterThan(0.9);
    assertThat(fleet.leastMargin()).isGreaterThanOrEqualTo(0);
  }

  /** Where all nodes have failures, none waits for shares that others leave. */
  @ParameterizedTest
  @CsvSource({"8,60", "71,60", "71,400"})
  void nodesThatAllHaveFailuresUseAsMuchAsWithEqualShares(int nodes, double all) {
    double allowed = 0.8 * 10 * BudgetFleet.RATIO * all + 0.7 * BudgetFleet.SLACK;
    double[] used = new double[2];
    for (int mode = 0; mode < 2; mode++) {
      BudgetFleet fleet = new BudgetFleet(nodes, mode == 1, LOST, 3);
      fleet.simulate(
          40,
          (node, seconds) -> all / nodes,
          (node, seconds) -> allowed / 3 / nodes,
          BudgetFleet.Faults.NONE);
      used[mode] = fleet.repeatsPerWindow(10, 40);
    }
    assertThat(used[1]).isGreaterThan(0.9 * used[0]);
  }
}
