package org.fallturn.core.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Simulates nodes that apply one rate limit together, in steps of 10 ms of simulated time. Requests
 * arrive at random. Each node sends its digest every 100 ms; digests arrive late or get lost, and
 * nodes are cut off and paused. Counts the requests that are sent within a sliding window.
 */
final class RateFleet {

  static final double WINDOW_SECONDS = 4;

  private static final int STEP_MILLIS = 10;
  private static final int ROUND_MILLIS = 100;
  private static final long LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** Decides for one node which requests may be sent. */
  interface Limiter {

    /** The digest that the node sends now. */
    RateDigest digest(long nowNanos);

    /** Receives the sum of the digests of all other nodes. */
    void hear(RateDigest others, OptionalInt nodes);

    /** Handles a request that arrives and returns whether it is sent. */
    boolean request(long nowNanos);

    /** Sends a call of the node itself, which needs no permit. */
    default void ownCall(long nowNanos) {}
  }

  /** Creates a limiter that shares the rate by the demand of all nodes. */
  static Limiter demandShare(double perSecond, Random random) {
    SharedRate rate = new SharedRate(new SplittableRandom(random.nextLong()));
    rate.setPerSecond(perSecond);
    return new Limiter() {
      @Override
      public RateDigest digest(long nowNanos) {
        return rate.digest(nowNanos);
      }

      @Override
      public void hear(RateDigest others, OptionalInt nodes) {
        rate.setOthers(others, nodes);
      }

      @Override
      public boolean request(long nowNanos) {
        rate.onAsked(nowNanos);
        return rate.tryTake(nowNanos);
      }

      @Override
      public void ownCall(long nowNanos) {
        rate.onSent(nowNanos);
      }
    };
  }

  /** Creates a limiter that gives each node an equal share of the rate, at even intervals. */
  static Limiter equalShare(double perSecond, Random random) {
    return new Limiter() {
      private double credit = random.nextDouble();
      private long atNanos;
      private OptionalInt nodes = OptionalInt.empty();

      @Override
      public RateDigest digest(long nowNanos) {
        return RateDigest.NONE;
      }

      @Override
      public void hear(RateDigest others, OptionalInt nodeCount) {
        nodes = nodeCount;
      }

      @Override
      public boolean request(long nowNanos) {
        double rate = nodes.isEmpty() ? 0 : perSecond / nodes.getAsInt();
        credit = Math.min(1, credit + rate * (nowNanos - atNanos) / 1e9);
        atNanos = nowNanos;
        if (credit < 1) {
          return false;
        }
        credit--;
        return true;
      }
    };
  }

  /** Creates the limiter of a node. */
  interface Policy {
    Limiter create(double perSecond, Random random);
  }

  /** The number of requests per second that arrive at a node. */
  interface Demand {
    double perSecond(int node, double seconds);
  }

  /** The faults, by node and time. */
  interface Faults {
    /** The group of nodes that hear each other; negative while the node is paused. */
    int group(int node, double seconds);
  }

  static final Faults NO_FAULTS = (node, seconds) -> 0;

  private final int nodes;
  private final Random random;
  private final List<Limiter> limiters = new ArrayList<>();
  private final List<Deque<SentDigest>> digests = new ArrayList<>();
  private final double lossRate;
  private final List<Long> sentAt = new ArrayList<>();
  private int ownCallMillis = Integer.MAX_VALUE;
  private int ownCalls;

  private record SentDigest(long atNanos, RateDigest digest, int group) {}

  RateFleet(int nodes, double perSecond, Policy policy, double lossRate, long seed) {
    this.nodes = nodes;
    this.lossRate = lossRate;
    this.random = new Random(seed);
    for (int node = 0; node < nodes; node++) {
      limiters.add(policy.create(perSecond, random));
      digests.add(new ArrayDeque<>());
    }
  }

  /** From now on, makes the first node send a call of its own at this interval. */
  void callEvery(int millis) {
    ownCallMillis = millis;
  }

  /** The number of calls of its own that the first node has sent. */
  int ownCalls() {
    return ownCalls;
  }

  void run(double seconds, Demand demand, Faults faults) {
    for (int millis = 0; millis < seconds * 1_000; millis += STEP_MILLIS) {
      long now = TimeUnit.MILLISECONDS.toNanos(millis) + 1;
      double time = millis / 1_000.0;
      for (int node = 0; node < nodes; node++) {
        if (faults.group(node, time) < 0) {
          continue;
        }
        if ((millis / STEP_MILLIS + node) % (ROUND_MILLIS / STEP_MILLIS) == 0) {
          sendDigest(node, faults.group(node, time), now);
        }
        requests(node, demand.perSecond(node, time), now);
      }
      if (millis % ownCallMillis == 0 && millis > 0) {
        limiters.get(0).ownCall(now);
        sentAt.add(now);
        ownCalls++;
      }
      if (millis % (2 * STEP_MILLIS) == 0) {
        deliverDigests(faults, time, now);
      }
    }
  }

  private void sendDigest(int node, int group, long now) {
    if (random.nextDouble() >= lossRate) {
      long delay = TimeUnit.MILLISECONDS.toNanos(10 + random.nextInt(100));
      digests.get(node).addLast(new SentDigest(now + delay, limiters.get(node).digest(now), group));
    }
  }

  private void requests(int node, double rate, long now) {
    double expected = rate * STEP_MILLIS / 1_000;
    int arrivals = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int request = 0; request < arrivals; request++) {
      if (limiters.get(node).request(now)) {
        sentAt.add(now);
      }
    }
  }

  private void deliverDigests(Faults faults, double time, long now) {
    List<RateDigest> heard = new ArrayList<>();
    List<Integer> groups = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      Deque<SentDigest> received = digests.get(node);
      SentDigest latest = null;
      for (SentDigest candidate : received) {
        latest = candidate.atNanos <= now ? candidate : latest;
      }
      while (latest != null && received.peekFirst() != latest) {
        received.removeFirst();
      }
      boolean fresh = latest != null && now - latest.atNanos < LIFETIME_NANOS;
      heard.add(fresh ? latest.digest : RateDigest.NONE);
      groups.add(fresh ? latest.group : Integer.MIN_VALUE);
    }
    for (int node = 0; node < nodes; node++) {
      int group = faults.group(node, time);
      if (group >= 0) {
        limiters.get(node).hear(others(heard, groups, node, group), OptionalInt.of(nodes));
      }
    }
  }

  private RateDigest others(List<RateDigest> heard, List<Integer> groups, int self, int group) {
    int count = 0;
    int weight = 0;
    int held = 0;
    int sent = 0;
    for (int node = 0; node < nodes; node++) {
      if (node != self && groups.get(node) == group) {
        RateDigest digest = heard.get(node);
        count += digest.nodes();
        weight += digest.weight();
        held += digest.held();
        sent += digest.sent();
      }
    }
    return new RateDigest(count, weight, held, sent);
  }

  /** The highest number of requests sent within any window that begins after the given time. */
  int worstWindow(double sinceSeconds) {
    long window = (long) (WINDOW_SECONDS * 1e9);
    int worst = 0;
    int first = 0;
    for (int last = 0; last < sentAt.size(); last++) {
      while (sentAt.get(last) - sentAt.get(first) >= window
          || sentAt.get(first) < sinceSeconds * 1e9) {
        first++;
        if (first > last) {
          break;
        }
      }
      worst = Math.max(worst, last - first + 1);
    }
    return worst;
  }

  /** The number of requests sent between two times. */
  int sent(double fromSeconds, double toSeconds) {
    return (int)
        sentAt.stream().filter(at -> at >= fromSeconds * 1e9 && at < toSeconds * 1e9).count();
  }

  /** The most requests per window that engines are promised, for a limit in requests per second. */
  static int allowed(double perSecond) {
    return (int) (1.5 * perSecond * WINDOW_SECONDS + 5);
  }
}
