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
 * Nodes that keep to one rate together, in steps of 10 ms of simulated time: requests come at
 * random, each node tells its digest every 100 ms, what is told comes late and at times not at all,
 * and nodes are cut off and paused. Counts what is sent by sliding window.
 */
final class RateFleet {

  static final double WINDOW_SECONDS = 4;

  private static final int STEP_MILLIS = 10;
  private static final int TURN_MILLIS = 100;
  private static final long LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /** How a node decides. */
  interface Part {

    /** What it tells now. */
    RateDigest digest(long nowNanos);

    /** What it hears of all others. */
    void hear(RateDigest others, OptionalInt nodes);

    /** A request comes; whether it is sent. */
    boolean request(long nowNanos);

    /** It sends a call of its own, which needs no permit. */
    default void ownCall(long nowNanos) {}
  }

  /** By what all want. */
  static Part byDemand(double perSecond, Random random) {
    SharedRate rate = new SharedRate(new SplittableRandom(random.nextLong()));
    rate.setPerSecond(perSecond);
    return new Part() {
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

  /** An equal part for each node that there may be, in even distances. */
  static Part equalPart(double perSecond, Random random) {
    return new Part() {
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

  /** Makes a node's part. */
  interface Policy {
    Part part(double perSecond, Random random);
  }

  /** How many requests a second come to a node. */
  interface Demand {
    double perSecond(int node, double seconds);
  }

  /** What goes wrong, by node and time. */
  interface Trouble {
    /** The group of nodes that hear each other; negative while a node is paused. */
    int group(int node, double seconds);
  }

  static final Trouble NONE = (node, seconds) -> 0;

  private final int nodes;
  private final Random random;
  private final List<Part> parts = new ArrayList<>();
  private final List<Deque<Told>> told = new ArrayList<>();
  private final double lost;
  private final List<Long> sentAt = new ArrayList<>();
  private int ownCallMillis = Integer.MAX_VALUE;
  private int ownCalls;

  private record Told(long atNanos, RateDigest digest, int group) {}

  RateFleet(int nodes, double perSecond, Policy policy, double lost, long seed) {
    this.nodes = nodes;
    this.lost = lost;
    this.random = new Random(seed);
    for (int node = 0; node < nodes; node++) {
      parts.add(policy.part(perSecond, random));
      told.add(new ArrayDeque<>());
    }
  }

  /** From now on the first node sends a call of its own every so many ms. */
  void callEvery(int millis) {
    ownCallMillis = millis;
  }

  /** How many calls of its own the first node has sent. */
  int ownCalls() {
    return ownCalls;
  }

  void play(double seconds, Demand demand, Trouble trouble) {
    for (int millis = 0; millis < seconds * 1_000; millis += STEP_MILLIS) {
      long now = TimeUnit.MILLISECONDS.toNanos(millis) + 1;
      double time = millis / 1_000.0;
      for (int node = 0; node < nodes; node++) {
        if (trouble.group(node, time) < 0) {
          continue;
        }
        if ((millis / STEP_MILLIS + node) % (TURN_MILLIS / STEP_MILLIS) == 0) {
          tell(node, trouble.group(node, time), now);
        }
        requests(node, demand.perSecond(node, time), now);
      }
      if (millis % ownCallMillis == 0 && millis > 0) {
        parts.get(0).ownCall(now);
        sentAt.add(now);
        ownCalls++;
      }
      if (millis % (2 * STEP_MILLIS) == 0) {
        hearAll(trouble, time, now);
      }
    }
  }

  private void tell(int node, int group, long now) {
    if (random.nextDouble() >= lost) {
      long delay = TimeUnit.MILLISECONDS.toNanos(10 + random.nextInt(100));
      told.get(node).addLast(new Told(now + delay, parts.get(node).digest(now), group));
    }
  }

  private void requests(int node, double rate, long now) {
    double expected = rate * STEP_MILLIS / 1_000;
    int come = (int) expected + (random.nextDouble() < expected % 1 ? 1 : 0);
    for (int request = 0; request < come; request++) {
      if (parts.get(node).request(now)) {
        sentAt.add(now);
      }
    }
  }

  private void hearAll(Trouble trouble, double time, long now) {
    List<RateDigest> heard = new ArrayList<>();
    List<Integer> groups = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      Deque<Told> of = told.get(node);
      Told latest = null;
      for (Told any : of) {
        latest = any.atNanos <= now ? any : latest;
      }
      while (latest != null && of.peekFirst() != latest) {
        of.removeFirst();
      }
      boolean fresh = latest != null && now - latest.atNanos < LIFETIME_NANOS;
      heard.add(fresh ? latest.digest : RateDigest.NONE);
      groups.add(fresh ? latest.group : Integer.MIN_VALUE);
    }
    for (int node = 0; node < nodes; node++) {
      int group = trouble.group(node, time);
      if (group >= 0) {
        parts.get(node).hear(others(heard, groups, node, group), OptionalInt.of(nodes));
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

  /** The most that was sent within any window that begins later than a moment. */
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

  /** How many were sent within a time. */
  int sent(double fromSeconds, double toSeconds) {
    return (int)
        sentAt.stream().filter(at -> at >= fromSeconds * 1e9 && at < toSeconds * 1e9).count();
  }

  /** What engines are promised. */
  static int allowed(double perSecond) {
    return (int) (1.5 * perSecond * WINDOW_SECONDS + 5);
  }
}
