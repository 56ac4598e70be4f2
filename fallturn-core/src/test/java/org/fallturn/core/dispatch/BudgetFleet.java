package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.limits.SharedBudget;

/**
 * Simulates nodes that share one retry budget, in steps of 10 ms: requests arrive and fail at
 * random; each node reports its digest every 100 ms, and reports come late or are lost; nodes are
 * partitioned, paused and restarted. Counts requests and repeats as the engines would.
 */
final class BudgetFleet {

  static final double RATIO = RetryBudgetTest.RATIO;
  static final double SLACK = RetryBudgetTest.SLACK;
  static final double WINDOW_SECONDS = RetryBudgetTest.WINDOW / 1e9;

  private static final int STEP_MILLIS = 10;
  private static final int REPORT_INTERVAL_MILLIS = 100;
  private static final int MIN_NODES = 6;

  /** A rate of events at each node. */
  interface Rate {
    double perSecond(int node, double seconds);
  }

  /** Faults, by node and time. */
  interface Faults {
    Faults NONE = (node, seconds) -> 0;

    /** The partition that the node is in; negative while the node is paused. */
    int group(int node, double seconds);

    /** Whether the node's process ends now and a new one starts. */
    default boolean restarts(int node, double seconds) {
      return false;
    }
  }

  private record Report(long arrivalNanos, BudgetDigest digest, int group) {}

  private final int nodes;
  private final boolean sharing;
  private final double lost;
  private final int maxDelayMillis;
  private final Random random;
  private final RetryBudget[] budgets;
  private final long[] startedNanos;
  private final List<Deque<Report>> reports = new ArrayList<>();
  private final List<Long> requests = new ArrayList<>();
  private final List<Long> repeats = new ArrayList<>();

  /**
   * Creates nodes that have run for a minute.
   *
   * @param sharing whether nodes receive what the others report; otherwise each keeps its equal
   *     share
   * @param lost probability that a report is lost
   */
  BudgetFleet(int nodes, boolean sharing, double lost, long seed) {
    this.nodes = nodes;
    this.sharing = sharing;
    this.lost = lost;
    this.maxDelayMillis = nodes > 16 ? 250 : 100;
    this.random = new Random(seed);
    this.budgets = new RetryBudget[nodes];
    this.startedNanos = new long[nodes];
    for (int node = 0; node < nodes; node++) {
      start(node, -Duration.ofMinutes(1).toNanos(), false);
      reports.add(new ArrayDeque<>());
    }
  }

  /** Lets all nodes start for the first time now. */
  BudgetFleet startingForTheFirstTime() {
    for (int node = 0; node < nodes; node++) {
      start(node, 0, true);
    }
    return this;
  }

  private void start(int node, long nowNanos, boolean firstStart) {
    budgets[node] = RetryBudgetTest.budget(firstStart);
    startedNanos[node] = nowNanos;
  }

  void simulate(double seconds, Rate requestRate, Rate failureRate, Faults faults) {
    for (int millis = 0; millis < seconds * 1_000; millis += STEP_MILLIS) {
      long now = TimeUnit.MILLISECONDS.toNanos(millis);
      step(millis, requestRate, failureRate, faults, now);
    }
  }

  private void step(int millis, Rate requestRate, Rate failureRate, Faults faults, long now) {
    double time = millis / 1_000.0;
    deliverReports(faults, time, now);
    for (int node = 0; node < nodes; node++) {
      if (faults.restarts(node, time)) {
        start(node, now, false);
        reports.get(node).clear();
      }
      if (faults.group(node, time) < 0) {
        continue;
      }
      for (int request = randomCount(requestRate.perSecond(node, time)); request > 0; request--) {
        budgets[node].onRequest(now);
        requests.add(now);
      }
      for (int failure = randomCount(failureRate.perSecond(node, time)); failure > 0; failure--) {
        if (budgets[node].tryTake(false, now)) {
          repeats.add(now);
        }
      }
      if ((millis / STEP_MILLIS + node) % (REPORT_INTERVAL_MILLIS / STEP_MILLIS) == 0) {
        report(node, faults.group(node, time), now);
      }
    }
  }

  private int randomCount(double perSecond) {
    double expected = perSecond * STEP_MILLIS / 1_000;
    return (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
  }

  private void report(int node, int group, long now) {
    if (random.nextDouble() >= lost) {
      long delay = TimeUnit.MILLISECONDS.toNanos(10 + random.nextInt(maxDelayMillis));
      reports.get(node).addLast(new Report(now + delay, budgets[node].digest(now), group));
    }
  }

  private void deliverReports(Faults faults, double time, long now) {
    List<Report> received = new ArrayList<>();
    for (Deque<Report> sent : reports) {
      Report latest = null;
      for (Report candidate : sent) {
        latest = candidate.arrivalNanos <= now ? candidate : latest;
      }
      while (latest != null && sent.peekFirst() != latest) {
        sent.removeFirst();
      }
      boolean fresh =
          latest != null && now - latest.arrivalNanos < SharedBudget.DIGEST_LIFETIME_NANOS;
      received.add(fresh ? latest : new Report(now, BudgetDigest.NONE, Integer.MIN_VALUE));
    }
    for (int node = 0; node < nodes; node++) {
      int group = faults.group(node, time);
      BudgetDigest others = sharing ? others(received, node, group) : BudgetDigest.NONE;
      long uptime = now - startedNanos[node];
      budgets[node].setOthers(others, OptionalInt.of(Math.max(MIN_NODES, nodes)), uptime);
    }
  }

  private BudgetDigest others(List<Report> received, int self, int group) {
    int[] sums = new int[5];
    for (int node = 0; node < nodes; node++) {
      if (node != self && received.get(node).group == group) {
        BudgetDigest digest = received.get(node).digest;
        sums[0] += digest.nodes();
        sums[1] += digest.requests();
        sums[2] += digest.used();
        sums[3] += digest.wanted();
        sums[4] += digest.kept();
      }
    }
    return new BudgetDigest(sums[0], sums[1], sums[2], sums[3], sums[4]);
  }

  /**
   * Margin between the repeats of the worst window and the bound; negative where the bound is
   * exceeded.
   */
  double leastMargin() {
    long window = (long) (WINDOW_SECONDS * 1e9);
    double least = SLACK;
    int first = 0;
    for (int last = 0; last < repeats.size(); last++) {
      long end = repeats.get(last);
      while (end - repeats.get(first) >= window) {
        first++;
      }
      int requestCount =
          Math.max(
              requests(end - window, end),
              Math.max(
                  requests(end - 2 * window, end - window),
                  requests(end - window - window / 2, end - window / 2)));
      least = Math.min(least, RATIO * requestCount + SLACK - (last - first + 1));
    }
    return least;
  }

  /** Number of requests after one time and up to another. */
  private int requests(long fromNanos, long untilNanos) {
    return countUpTo(untilNanos) - countUpTo(fromNanos);
  }

  private int countUpTo(long nanos) {
    int low = 0;
    int high = requests.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (requests.get(middle) <= nanos) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  /** Average number of repeats per window between two times. */
  double repeatsPerWindow(double fromSeconds, double toSeconds) {
    long sent =
        repeats.stream().filter(at -> at >= fromSeconds * 1e9 && at < toSeconds * 1e9).count();
    return sent * WINDOW_SECONDS / (toSeconds - fromSeconds);
  }
}
