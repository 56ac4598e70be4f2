package org.fallturn.core.limits;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * This node's part of a budget that holds over the whole fleet within a sliding window, kept
 * without a round trip per request. The budget is a number of units for each request received, plus
 * a fixed number. Each node contributes the units for its own requests and an equal share of the
 * fixed number. It reserves a part of its contribution for itself; the rest forms a pool for the
 * nodes that need more. This helps when failures occur at one node, or at some, while the parts of
 * the others lie unused.
 *
 * <p>Invariant: what nodes that hear each other take within a window stays within what they
 * contribute together, and a node that hears no other takes no more than it contributes. Once a
 * node has heard that others want units, it lends them what it does not want itself, for a whole
 * window, and reports what it still reserves. Other nodes take from the pool only units that
 * certainly no node reserves and that no node was heard to have taken; nodes that are not heard any
 * more count here, too. Each node takes its share of the pool once per round trip of digests. That
 * share counts this node's demand only after the others have been told of it, and the demand of
 * others at once.
 *
 * <p>Nodes send no digest of a budget while no node wants a unit of it. The caller must make sure
 * that one thread calls at a time.
 */
public final class SharedBudget {

  private static final int BUCKETS = 20;

  /** The period over which demand is counted, in buckets of 100 ms. */
  private static final int DEMAND_TENTHS = 20;

  /**
   * The time, in tenths of a second, after which the other nodes know this node's demand: two
   * rounds, and the way through relays.
   */
  private static final int SETTLING_TENTHS = 5;

  /**
   * The time, in tenths of a second, until all nodes know what this one took, and this node knows
   * what they took meanwhile.
   */
  private static final int ROUND_TRIP_TENTHS = 2 * SETTLING_TENTHS;

  /**
   * Demand of others that lasts for this time, in tenths of a second, is sustained and no burst. It
   * is sampled in each round.
   */
  private static final int SUSTAINED_TENTHS = 15;

  /** More than any fleet wants. */
  private static final int MAX_DEMAND = 1_000_000;

  /**
   * The largest fraction of its contribution that a node lends; it reserves the rest for itself.
   */
  private static final double MAX_LENT = 0.95;

  private static final double HUNDREDTHS = 100;

  /** How long a node's digest of a budget counts: several rounds, some of which may be lost. */
  public static final long DIGEST_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How many periods of {@link #DEMAND_TENTHS} one window has. */
  private final double demandPeriodsPerWindow;

  private final SlidingCount requests;
  private final SlidingCount used;
  private final SlidingCount usedRecently = SlidingCount.ofTenths(ROUND_TRIP_TENTHS);
  private final SlidingCount demand = SlidingCount.ofTenths(DEMAND_TENTHS + SETTLING_TENTHS);
  private final SlidingPeak usedByOthers;
  private final SlidingPeak usedByEach;
  private final SlidingPeak invertedDemand =
      new SlidingPeak(TimeUnit.MILLISECONDS.toNanos(100L * SUSTAINED_TENTHS), SUSTAINED_TENTHS);
  private final SlidingCount demandInWindow;
  private final SlidingPeak lentPeak;
  private double perRequest;
  private double fixed;
  private BudgetDigest others = BudgetDigest.NONE;
  private OptionalInt nodes = OptionalInt.empty();
  private boolean sharing;

  /**
   * Creates a budget from which nothing has been taken.
   *
   * @param window length of the sliding window
   */
  public SharedBudget(Duration window) {
    demandPeriodsPerWindow = window.toMillis() / (100.0 * DEMAND_TENTHS);
    requests = new SlidingCount(window.toNanos(), BUCKETS);
    used = new SlidingCount(window.toNanos(), BUCKETS);
    demandInWindow = new SlidingCount(window.toNanos(), BUCKETS);
    lentPeak = new SlidingPeak(window.toNanos(), BUCKETS);
    usedByOthers = new SlidingPeak(window.toNanos(), BUCKETS);
    usedByEach = new SlidingPeak(window.toNanos(), BUCKETS);
  }

  /**
   * Sets how many units all nodes together may take within a window.
   *
   * @param newPerRequest units for each request that any of them received
   * @param newFixed units beyond that
   */
  public void setBounds(double newPerRequest, double newFixed) {
    perRequest = newPerRequest;
    fixed = newFixed;
  }

  /**
   * Sets what the other nodes report.
   *
   * @param newOthers sum of all digests that are still valid
   * @param nodeCount number of nodes that may exist, including this one; empty while it is unknown
   */
  public void setOthers(BudgetDigest newOthers, OptionalInt nodeCount) {
    others = newOthers;
    nodes = nodeCount;
  }

  /**
   * Sets whether this node has been counting for a whole window. Until then it contributes nothing
   * to the pool and takes nothing from it, since it does not know what it took before.
   */
  public void setSharing(boolean shares) {
    sharing = shares;
  }

  /** Handles a request that this node received; it increases the budget. */
  public void onRequest(long nowNanos) {
    requests.add(nowNanos);
  }

  /**
   * Takes one unit if this node's part of the budget allows it.
   *
   * @param part fraction of the allowed units that the caller may use
   * @return whether a unit was taken
   */
  public boolean tryTake(double part, long nowNanos) {
    demand.add(nowNanos);
    demandInWindow.add(nowNanos);
    boolean fromReserve = used.sum(nowNanos) + 1 <= part * reserve(nowNanos);
    boolean fromPool = usedRecently.sum(nowNanos) + 1 <= part * poolAllowance(nowNanos);
    if (!fromReserve && !fromPool || used.sum(nowNanos) + 1 > notUsedByOthers(nowNanos)) {
      return false;
    }
    used.add(nowNanos);
    usedRecently.add(nowNanos);
    return true;
  }

  /**
   * The digest that this node sends to others; {@link BudgetDigest#NONE} while no node needs it.
   */
  public BudgetDigest digest(long nowNanos) {
    double usedByOtherNodes = usedByOtherNodes(nowNanos);
    double kept = unusedReserve(nowNanos);
    int wanted = wanted(0, nowNanos);
    int taken = used.sum(nowNanos);
    boolean quiet = taken == 0 && wanted == 0 && usedByOtherNodes == 0 && !others.inUse();
    if (quiet || !sharing || nodes.isEmpty()) {
      return BudgetDigest.NONE;
    }
    int hundredths = (int) Math.ceil(HUNDREDTHS * kept);
    return new BudgetDigest(1, requests.sum(nowNanos), taken, wanted, hundredths);
  }

  /** What this node knows of the budget now. */
  public BudgetState state(long nowNanos) {
    double usedByOthers = usedByOtherNodes(nowNanos);
    return new BudgetState(
        reserve(nowNanos),
        poolAllowance(nowNanos),
        used.sum(nowNanos),
        usedByOthers,
        notUsedByOthers(nowNanos) + (sharing && nodes.isPresent() ? usedByOthers : 0),
        1 + others.nodes(),
        nodes.orElse(0),
        sharing);
  }

  /** Units that this node may take within a window, whatever the others take. */
  private double reserve(long nowNanos) {
    return (1 - lentFraction(nowNanos)) * ownContribution(nowNanos);
  }

  private double unusedReserve(long nowNanos) {
    return Math.max(0, reserve(nowNanos) - used.sum(nowNanos));
  }

  /** Units that this node may take from the pool, which nobody reserves, within one round trip. */
  private double poolAllowance(long nowNanos) {
    if (!sharing || nodes.isEmpty()) {
      return 0;
    }
    int known = used.sum(nowNanos) - usedRecently.sum(nowNanos);
    double kept = others.kept() / HUNDREDTHS + unusedReserve(nowNanos);
    double left = notUsedByOthers(nowNanos) - known - kept;
    return left > 0 ? left * shareOfDemand(nowNanos) : 0;
  }

  /**
   * Units of the whole budget that others have not taken. This bounds the reserve, too: if requests
   * moved from node to node, each node could otherwise take its part in a window of its own.
   */
  private double notUsedByOthers(long nowNanos) {
    double own = ownContribution(nowNanos);
    return sharing && nodes.isPresent()
        ? own + contributionOfOthers() - usedByOtherNodes(nowNanos)
        : own;
  }

  private double ownContribution(long nowNanos) {
    return perRequest * requests.sum(nowNanos) + (nodes.isPresent() ? fixed / nodes.getAsInt() : 0);
  }

  /**
   * What the other nodes contribute. A node that is counted twice while it changes relays must not
   * contribute twice.
   */
  private double contributionOfOthers() {
    int reportedNodes = others.nodes();
    int maximum = nodes.getAsInt() - 1;
    double deduplicationFactor = reportedNodes > maximum ? (double) maximum / reportedNodes : 1;
    return deduplicationFactor
        * (perRequest * others.requests() + fixed * reportedNodes / nodes.getAsInt());
  }

  /**
   * The fraction of its own contribution that this node lends, of what it does not want itself: the
   * fraction of the whole budget that others want now, or will want within a window once their
   * demand is sustained. A burst of failures reaches all nodes, and this one a moment later.
   */
  private double lentFraction(long nowNanos) {
    double own = ownContribution(nowNanos);
    if (!sharing || nodes.isEmpty() || own <= 0) {
      return 0;
    }
    double wanted =
        Math.max(others.wanted(), demandPeriodsPerWindow * sustainedDemandOfOthers(nowNanos));
    double unwanted = Math.max(0, 1 - demandInWindow.sum(nowNanos) / own);
    return lentPeak.update(
        Math.min(Math.min(MAX_LENT, wanted / (own + contributionOfOthers())), unwanted), nowNanos);
  }

  /** The least demand of others that was reported during the sustained period. */
  private double sustainedDemandOfOthers(long nowNanos) {
    return MAX_DEMAND - invertedDemand.update(MAX_DEMAND - others.wanted(), nowNanos);
  }

  /**
   * This node's share of the pool. Of its own demand only the part counts that all nodes know of.
   */
  private double shareOfDemand(long nowNanos) {
    int settled = wanted(0, nowNanos);
    int all = others.wanted() + settled;
    for (int tenths = 1; tenths <= SETTLING_TENTHS; tenths++) {
      settled = Math.min(settled, wanted(tenths, nowNanos));
    }
    return settled == 0 ? 0 : (double) settled / all;
  }

  /**
   * Units that others have taken within the window, including nodes that are not heard any more.
   * Each remaining node bears an equal part of what the lost ones took.
   */
  private double usedByOtherNodes(long nowNanos) {
    int heard = others.nodes() + 1;
    double maximum = usedByOthers.update(others.used(), nowNanos);
    double byEach = usedByEach.update((double) others.used() / heard, nowNanos);
    return Math.max(others.used(), Math.min(maximum, byEach * heard));
  }

  private int wanted(int skippedTenths, long nowNanos) {
    return demand.sum(DEMAND_TENTHS, skippedTenths, nowNanos);
  }
}
