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
 * Nodes that share one retry budget, in steps of 10 ms of simulated time: requests come and fail at
 * random, each node tells its digest every 100 ms, what is told comes late and at times not at all,
 * and nodes are cut off, paused and restarted. Counts requests and repeats as the engines do.
 */
final class BudgetFleet {

  static final double RATIO = RetryBudgetTest.RATIO;
  static final double SLACK = RetryBudgetTest.SLACK;
  static final double WINDOW_SECONDS = RetryBudgetTest.WINDOW / 1e9;

  private static final int STEP_MILLIS = 10;
  private static final int TURN_MILLIS = 100;
  private static final int LEAST_NODES = 6;

  /** How many come to a node a second. */
  interface Rate {
    double perSecond(int node, double seconds);
  }

  /** What goes wrong, by node and time. */
  interface Trouble {
    Trouble NONE = (node, seconds) -> 0;

    /** The group of nodes that receive each other; negative while a node is paused. */
    int group(int node, double seconds);

    /** Whether its process ends now and another begins. */
    default boolean restarts(int node, double seconds) {
      return false;
    }
  }

  private record Told(long atNanos, BudgetDigest digest, int group) {}

  private final int nodes;
  private final boolean sharing;
  private final double lost;
  private final int mostDelayMillis;
  private final Random random;
  private final RetryBudget[] budgets;
  private final long[] startedNanos;
  private final List<Deque<Told>> told = new ArrayList<>();
  private final List<Long> requests = new ArrayList<>();
  private final List<Long> repeats = new ArrayList<>();

  /**
   * Nodes that have served for long.
   *
   * @param sharing whether they receive what the others tell; else each keeps its equal part
   */
  BudgetFleet(int nodes, boolean sharing, double lost, long seed) {
    this.nodes = nodes;
    this.sharing = sharing;
    this.lost = lost;
    this.mostDelayMillis = nodes > 16 ? 250 : 100;
    this.random = new Random(seed);
    this.budgets = new RetryBudget[nodes];
    this.startedNanos = new long[nodes];
    for (int node = 0; node < nodes; node++) {
      start(node, -Duration.ofMinutes(1).toNanos());
      told.add(new ArrayDeque<>());
    }
  }

  private void start(int node, long nowNanos) {
    budgets[node] = RetryBudgetTest.budget();
    startedNanos[node] = nowNanos;
  }

  void play(double seconds, Rate asked, Rate failed, Trouble trouble) {
    for (int millis = 0; millis < seconds * 1_000; millis += STEP_MILLIS) {
      long now = TimeUnit.MILLISECONDS.toNanos(millis);
      step(millis, asked, failed, trouble, now);
    }
  }

  private void step(int millis, Rate asked, Rate failed, Trouble trouble, long now) {
    double time = millis / 1_000.0;
    hearAll(trouble, time, now);
    for (int node = 0; node < nodes; node++) {
      if (trouble.restarts(node, time)) {
        start(node, now);
        told.get(node).clear();
      }
      if (trouble.group(node, time) < 0) {
        continue;
      }
      for (int request = comes(asked.perSecond(node, time)); request > 0; request--) {
        budgets[node].onRequest(now);
        requests.add(now);
      }
      for (int failure = comes(failed.perSecond(node, time)); failure > 0; failure--) {
        if (budgets[node].tryTake(false, now)) {
          repeats.add(now);
        }
      }
      if ((millis / STEP_MILLIS + node) % (TURN_MILLIS / STEP_MILLIS) == 0) {
        tell(node, trouble.group(node, time), now);
      }
    }
  }

  private int comes(double perSecond) {
    double expected = perSecond * STEP_MILLIS / 1_000;
    return (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
  }

  private void tell(int node, int group, long now) {
    if (random.nextDouble() >= lost) {
      long delay = TimeUnit.MILLISECONDS.toNanos(10 + random.nextInt(mostDelayMillis));
      told.get(node).addLast(new Told(now + delay, budgets[node].digest(now), group));
    }
  }

  private void hearAll(Trouble trouble, double time, long now) {
    List<Told> heard = new ArrayList<>();
    for (Deque<Told> of : told) {
      Told latest = null;
      for (Told any : of) {
        latest = any.atNanos <= now ? any : latest;
      }
      while (latest != null && of.peekFirst() != latest) {
        of.removeFirst();
      }
      boolean fresh = latest != null && now - latest.atNanos < SharedBudget.DIGEST_LIFETIME_NANOS;
      heard.add(fresh ? latest : new Told(now, BudgetDigest.NONE, Integer.MIN_VALUE));
    }
    for (int node = 0; node < nodes; node++) {
      int group = trouble.group(node, time);
      BudgetDigest others = sharing ? others(heard, node, group) : BudgetDigest.NONE;
      long uptime = now - startedNanos[node];
      budgets[node].setOthers(others, OptionalInt.of(Math.max(LEAST_NODES, nodes)), uptime);
    }
  }

  private BudgetDigest others(List<Told> heard, int self, int group) {
    int[] sums = new int[5];
    for (int node = 0; node < nodes; node++) {
      if (node != self && heard.get(node).group == group) {
        BudgetDigest digest = heard.get(node).digest;
        sums[0] += digest.nodes();
        sums[1] += digest.requests();
        sums[2] += digest.used();
        sums[3] += digest.wanted();
        sums[4] += digest.kept();
      }
    }
    return new BudgetDigest(sums[0], sums[1], sums[2], sums[3], sums[4]);
  }

  /** How far the worst window is within the bound; negative where it is passed. */
  double leastRoom() {
    long window = (long) (WINDOW_SECONDS * 1e9);
    double least = SLACK;
    int first = 0;
    for (int last = 0; last < repeats.size(); last++) {
      long end = repeats.get(last);
      while (end - repeats.get(first) >= window) {
        first++;
      }
      int asked =
          Math.max(
              requests(end - window, end),
              Math.max(
                  requests(end - 2 * window, end - window),
                  requests(end - window - window / 2, end - window / 2)));
      least = Math.min(least, RATIO * asked + SLACK - (last - first + 1));
    }
    return least;
  }

  /** How many requests came after a moment and until another. */
  private int requests(long fromNanos, long untilNanos) {
    return until(untilNanos) - until(fromNanos);
  }

  private int until(long nanos) {
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

  /** How many repeats were sent a window, on average within a time. */
  double repeatsPerWindow(double fromSeconds, double toSeconds) {
    long sent =
        repeats.stream().filter(at -> at >= fromSeconds * 1e9 && at < toSeconds * 1e9).count();
    return sent * WINDOW_SECONDS / (toSeconds - fromSeconds);
  }
}
