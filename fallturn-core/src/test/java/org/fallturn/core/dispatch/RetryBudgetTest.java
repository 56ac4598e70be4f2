package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.waiting.WaitingParameters;

/**
 * Checks that nodes that each use an equal share of the retry budget never exceed the bound
 * together. Each node sees only its own sends, so a share that is too large shows only in the sum.
 */
class RetryBudgetTest {

  static final double RATIO = 0.2;
  static final double SLACK = 54;
  static final long WINDOW = Duration.ofSeconds(10).toNanos();

  /** The budget of a process that replaces another one. */
  static RetryBudget budget() {
    return budget(false);
  }

  static RetryBudget budget(boolean firstStart) {
    return new RetryBudget(
        new DispatchParameters(
            "n",
            "z",
            50,
            RATIO,
            SLACK,
            Duration.ofNanos(WINDOW),
            firstStart,
            Duration.ZERO,
            Duration.ZERO,
            Requests.STAGES,
            WaitingParameters.ALL,
            true));
  }

  /**
   * However requests come, the repeats of all nodes stay within the fleet's bound in every window.
   */
  @Property(tries = 60, seed = "20261203")
  void everyWindowKeepsTheBoundOverAllNodes(
      @ForAll @IntRange(min = 1, max = 9) int nodes, @ForAll long seed) {
    Random random = new Random(seed);
    List<RetryBudget> budgets = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      budgets.add(budget());
    }
    List<Long> requests = new ArrayList<>();
    List<Long> repeats = new ArrayList<>();
    long now = 0;
    for (int event = 0; event < 3_000; event++) {
      now += random.nextInt(4) == 0 ? random.nextInt(200_000_000) : random.nextInt(2_000_000);
      RetryBudget budget = budgets.get(random.nextInt(nodes));
      if (random.nextInt(3) > 0) {
        budget.onRequest(now);
        requests.add(now);
      } else {
        budget.setOthers(BudgetDigest.NONE, OptionalInt.of(nodes), now);
        if (budget.tryTake(false, now)) {
          repeats.add(now);
        }
      }
    }
    for (long end : repeats) {
      long begin = end - WINDOW;
      long repeated = repeats.stream().filter(at -> at > begin && at <= end).count();
      long asked = requests.stream().filter(at -> at > begin - WINDOW && at <= end).count();
      assertThat(repeated).isLessThanOrEqualTo((long) (RATIO * asked + SLACK));
    }
  }
}
