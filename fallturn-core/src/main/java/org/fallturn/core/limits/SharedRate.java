package org.fallturn.core.limits;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * This node's part of a rate limit that holds over the whole fleet, kept without a round trip per
 * request. It is a token bucket whose permits accrue at the node's share of the rate. The share is
 * this node's demand relative to the demand that all nodes report, so that a node which alone has
 * demand gets nearly the whole rate. It follows load that moves between nodes within seconds, and
 * allows bursts after an idle time.
 *
 * <p>Invariant: the shares of all nodes add up to no more than the rate, whichever nodes hear each
 * other. A node counts its own demand only once the others have certainly been told of it, and the
 * demand of others at once. Of the rate it takes no more than the fraction of all nodes, itself
 * included, that it knows to apply the limit, so that a node which hears no other gets an equal
 * share. The whole fleet, whatever its size, holds few permits that no request has used, since all
 * of them may be used at the same moment. In addition, what a node may send is limited by what all
 * nodes are known to have sent within the window.
 *
 * <p>The caller must make sure that one thread calls at a time.
 */
public final class SharedRate {

  /** The window in which sent requests are counted, in buckets of 100 ms. */
  private static final int WINDOW_TENTHS = 40;

  private static final double WINDOW_SECONDS = WINDOW_TENTHS / 10.0;

  /**
   * Requests that may be sent in a window, relative to what the rate gives; some come in bursts.
   */
  private static final double WINDOW_FACTOR = 1.25;

  /**
   * The period over which demand is counted, in tenths of a second. A longer one follows load that
   * moves too slowly.
   */
  private static final int DEMAND_TENTHS = 20;

  /**
   * The time, in tenths of a second, after which the other nodes know this node's demand: two
   * rounds, and the way through relays.
   */
  private static final int SETTLING_TENTHS = 4;

  private static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(100L * SETTLING_TENTHS);

  /** Weight of one requested permit, relative to a node that only keeps a permit ready. */
  private static final int ASKED_WEIGHT = 16;

  /** The whole fleet keeps one permit ready, and what the rate gives in this time. */
  private static final double READY_SECONDS = 0.5;

  /**
   * Nodes drop permits only when the fleet holds more than this multiple of its target, since some
   * excess arises by chance.
   */
  private static final double MAX_READY_FACTOR = 2;

  /** A node with demand may send at once what its share gives in this time. */
  private static final double BURST_SECONDS = 0.25;

  /** Time beyond this accrues no permits, since a node that was paused has no claim to them. */
  private static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** The rate at which a limit of zero is tried, since only an answer tells that it has ended. */
  private static final double MIN_PER_SECOND = 0.2;

  /** More than any fleet sends. It keeps sums over nodes within the range of their type. */
  private static final double MAX_PER_SECOND = 1e6;

  private static final Duration MAX_WAIT = Duration.ofSeconds(5);
  private static final double NANOS_PER_SECOND = 1e9;

  private final RandomGenerator random;
  private final SlidingCount demand = SlidingCount.ofTenths(DEMAND_TENTHS + SETTLING_TENTHS);
  private final SlidingCount sent = SlidingCount.ofTenths(WINDOW_TENTHS);
  private double perSecond;
  private RateDigest others = RateDigest.NONE;
  private OptionalInt nodes = OptionalInt.empty();
  private double permits;
  private boolean started;
  private long accruedNanos;
  private boolean filling;
  private long fillingSinceNanos;

  /**
   * Creates the part of a node that has sent nothing.
   *
   * @param random a source that differs from node to node, so that nodes do not all send at the
   *     same moment
   */
  public SharedRate(RandomGenerator random) {
    this.random = random;
    this.permits = random.nextDouble();
  }

  /** Sets the rate that holds over all nodes together, in requests per second. */
  public void setPerSecond(double limit) {
    perSecond = Math.max(MIN_PER_SECOND, Math.min(limit, MAX_PER_SECOND));
  }

  /**
   * Sets what the other nodes report.
   *
   * @param newOthers sum of all digests that are still valid
   * @param nodeCount number of nodes that may exist, including this one; empty while it is unknown
   */
  public void setOthers(RateDigest newOthers, OptionalInt nodeCount) {
    others = newOthers;
    nodes = nodeCount;
  }

  /** Counts a request that wants a permit. */
  public void onAsked(long nowNanos) {
    demand.add(nowNanos);
  }

  /** Returns whether a request may be sent now. */
  public boolean mayTake(long nowNanos) {
    accrue(nowNanos);
    if (permits < 1) {
      return false;
    }
    if (others.sent() + sent.sum(nowNanos) + 1 <= maxInWindow()) {
      return true;
    }
    // Otherwise all nodes that wait for the window would send at once when it has room again.
    permits = random.nextDouble();
    return false;
  }

  private double maxInWindow() {
    return 1 + WINDOW_FACTOR * WINDOW_SECONDS * perSecond;
  }

  /** Takes a permit for a request that is sent now, if one is available. */
  public boolean tryTake(long nowNanos) {
    if (!mayTake(nowNanos)) {
      return false;
    }
    permits--;
    sent.add(nowNanos);
    return true;
  }

  /**
   * Counts a request that is sent without a permit. It takes room in the window only: a request
   * that is sent as often as a permit accrues would otherwise use every permit, and no other
   * request would ever be sent.
   */
  public void onSent(long nowNanos) {
    sent.add(nowNanos);
  }

  /** The number of requests that this node sent within the last window. */
  public int sent(long nowNanos) {
    return sent.sum(nowNanos);
  }

  /** The digest that this node sends to others. */
  public RateDigest digest(long nowNanos) {
    accrue(nowNanos);
    return new RateDigest(1, weight(wanted(0, nowNanos)), ready(), sent.sum(nowNanos));
  }

  /** An estimate of the time until a request may be sent; at most 5 s. */
  public Duration untilNext(long nowNanos) {
    accrue(nowNanos);
    double rate = rate(nowNanos);
    double seconds = rate > 0 ? (1 - permits) / rate : MAX_WAIT.toSeconds();
    Duration wait = Duration.ofNanos((long) (Math.max(0, seconds) * NANOS_PER_SECOND));
    return wait.compareTo(MAX_WAIT) < 0 ? wait : MAX_WAIT;
  }

  private int wanted(int skippedTenths, long nowNanos) {
    return demand.sum(DEMAND_TENTHS, skippedTenths, nowNanos);
  }

  private int weight(int requests) {
    return ASKED_WEIGHT * requests + (filling ? 1 : 0);
  }

  private int ready() {
    return (int) Math.max(0, permits);
  }

  /** The number of permits that this node and the nodes it hears keep ready together. */
  private double targetReady() {
    return heardFraction() * (1 + READY_SECONDS * perSecond);
  }

  private double maxReady() {
    return MAX_READY_FACTOR * targetReady();
  }

  private void accrue(long nowNanos) {
    if (!started) {
      started = true;
      accruedNanos = nowNanos;
    }
    long passed = Math.max(0, nowNanos - accruedNanos);
    long step = Math.min(passed, MAX_STEP_NANOS);
    accruedNanos += passed;
    updateFilling(nowNanos);
    double rate = rate(nowNanos);
    double maxPermits = (mayKeepSecondPermit(nowNanos) ? 2 : 1) + rate * BURST_SECONDS;
    permits = Math.max(permits, Math.min(maxPermits, permits + rate * step / NANOS_PER_SECOND));
    dropExcessPermits(step, nowNanos);
  }

  /** Updates whether this node wants a permit for a request that may come. */
  private void updateFilling(long nowNanos) {
    boolean fills = permits < 1 && others.held() < targetReady();
    if (fills && !filling) {
      fillingSinceNanos = nowNanos;
    }
    filling = fills;
  }

  /**
   * Returns whether this node may hold more than one permit. Requests come unevenly, and what
   * accrues between two of them must not be lost.
   */
  private boolean mayKeepSecondPermit(long nowNanos) {
    return wanted(0, nowNanos) > 0 && others.held() + ready() < maxReady();
  }

  /** The rate, in requests per second, at which this node may send. */
  private double rate(long nowNanos) {
    return perSecond * heardFraction() * share(nowNanos);
  }

  /**
   * The fraction of all nodes that this node knows to apply the limit, itself included; 0 while
   * nobody knows how many there are. Nodes that are cut off from each other each count the permits
   * of their own group only, so that a group may use or keep no more than its part.
   */
  private double heardFraction() {
    return nodes.isEmpty() ? 0 : Math.min(1, (1.0 + others.nodes()) / nodes.getAsInt());
  }

  /**
   * This node's share of the part of the rate that falls to the nodes it hears, itself included. It
   * follows the part of this node's demand that the others know of; until they know of any, it is
   * an equal share and no more.
   */
  private double share(long nowNanos) {
    int now = weight(wanted(0, nowNanos));
    if (now == 0) {
      return 0;
    }
    int settled = settledWeight(nowNanos);
    return settled > 0 ? (double) settled / (others.weight() + now) : 1.0 / (1 + others.nodes());
  }

  /** The weight that this node has reported for long enough that all others know of it. */
  private int settledWeight(long nowNanos) {
    int requests = Math.min(wanted(0, nowNanos), wanted(SETTLING_TENTHS, nowNanos));
    boolean settled = filling && nowNanos - fillingSinceNanos >= SETTLING_NANOS;
    return ASKED_WEIGHT * requests + (settled ? 1 : 0);
  }

  /**
   * When the fleet holds more permits than may be used at once, each node drops its own at random.
   */
  private void dropExcessPermits(long step, long nowNanos) {
    int all = others.held() + ready();
    if (ready() == 0 || all <= maxReady() || wanted(0, nowNanos) > 0) {
      return;
    }
    if (random.nextDouble() < (1 - maxReady() / all) * step / SETTLING_NANOS) {
      permits = random.nextDouble();
    }
  }
}
