package org.fallturn.core.limits;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * This node's part of a budget of a sliding window that holds over the whole fleet, kept without a
 * trip a request: so many for each request that came, and a fixed number beyond. Each node brings
 * in what its own requests give and an equal part of the fixed number; what is left of all that is
 * brought in goes to those that want it. It answers failures that are at one node, or at some,
 * while the parts of the others lie unused.
 *
 * <p>Invariant: what is taken within a window stays within what is brought in by those that hear
 * each other, and a node that hears nobody takes no more than it brings in. A node keeps of its own
 * part what it wants itself; the rest it leaves to others for a whole window once it has heard that
 * they want it, and tells what it keeps. Others take only what surely nobody keeps and nobody was
 * heard to have taken, those included that are heard no more. Of that a node takes its part once in
 * the time until all know of it: by its own wants once the others have been told, theirs at once.
 *
 * <p>Nothing is told while nobody wants anything. Callers see to it that one thread calls at a
 * time.
 */
public final class SharedBudget {

  private static final int BUCKETS = 20;

  /** Wants are counted over so long, in buckets of 100 ms. */
  private static final int WANTED_TENTHS = 20;

  /** After so long the others know what this node wants: two turns, and the way through relays. */
  private static final int SETTLING_TENTHS = 5;

  /** Until what was taken is known to all, and what they took meanwhile is known here. */
  private static final int UNKNOWN_TENTHS = 2 * SETTLING_TENTHS;

  /** What others want for so long is no burst; it is seen each turn. */
  private static final int LASTING_TENTHS = 15;

  /** More than any fleet wants. */
  private static final int MOST_WANTED = 1_000_000;

  /** Of its own part a node leaves at the most so much; the rest is for what it wants itself. */
  private static final double MOST_LEFT = 0.95;

  private static final double HUNDREDTHS = 100;

  /**
   * What others told of a budget is believed for so long: several turns, of which some are lost.
   */
  public static final long DIGEST_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** How often the time in which wants are counted fits into a window. */
  private final double wantedTimes;

  private final SlidingCount requests;
  private final SlidingCount used;
  private final SlidingCount usedLately = SlidingCount.ofTenths(UNKNOWN_TENTHS);
  private final SlidingCount wants = SlidingCount.ofTenths(WANTED_TENTHS + SETTLING_TENTHS);
  private final SlidingPeak usedByOthers;
  private final SlidingPeak usedByEach;
  private final SlidingPeak notWanted =
      new SlidingPeak(TimeUnit.MILLISECONDS.toNanos(100L * LASTING_TENTHS), LASTING_TENTHS);
  private final SlidingCount wantsInWindow;
  private final SlidingPeak leftToOthers;
  private double perRequest;
  private double fixed;
  private BudgetDigest others = BudgetDigest.NONE;
  private OptionalInt nodes = OptionalInt.empty();
  private boolean sharing;

  /**
   * A budget of which nothing is taken yet.
   *
   * @param window in which it is counted
   */
  public SharedBudget(Duration window) {
    wantedTimes = window.toMillis() / (100.0 * WANTED_TENTHS);
    requests = new SlidingCount(window.toNanos(), BUCKETS);
    used = new SlidingCount(window.toNanos(), BUCKETS);
    wantsInWindow = new SlidingCount(window.toNanos(), BUCKETS);
    leftToOthers = new SlidingPeak(window.toNanos(), BUCKETS);
    usedByOthers = new SlidingPeak(window.toNanos(), BUCKETS);
    usedByEach = new SlidingPeak(window.toNanos(), BUCKETS);
  }

  /**
   * Takes what all nodes together may take within a window.
   *
   * @param newPerRequest for each request that came to any of them
   * @param newFixed beyond that
   */
  public void setBounds(double newPerRequest, double newFixed) {
    perRequest = newPerRequest;
    fixed = newFixed;
  }

  /**
   * Takes what the others tell.
   *
   * @param told the sum of all that were heard lately
   * @param nodeCount nodes that there may be, this one included; empty while it is not known
   */
  public void setOthers(BudgetDigest told, OptionalInt nodeCount) {
    others = told;
    nodes = nodeCount;
  }

  /**
   * Says whether this node has been counting for a whole window. Until then it neither brings in
   * anything for others nor takes of theirs, since it does not know what it took before.
   */
  public void setSharing(boolean shares) {
    sharing = shares;
  }

  /** A request came, which widens the budget. */
  public void onRequest(long nowNanos) {
    requests.add(nowNanos);
  }

  /**
   * Takes one where this node's part allows it.
   *
   * @param part of what is allowed that it may use
   */
  public boolean tryTake(double part, long nowNanos) {
    wants.add(nowNanos);
    wantsInWindow.add(nowNanos);
    boolean ofOwn = used.sum(nowNanos) + 1 <= part * ownKept(nowNanos);
    boolean ofLeft = usedLately.sum(nowNanos) + 1 <= part * ofWhatIsLeft(nowNanos);
    if (!ofOwn && !ofLeft || used.sum(nowNanos) + 1 > leftByOthers(nowNanos)) {
      return false;
    }
    used.add(nowNanos);
    usedLately.add(nowNanos);
    return true;
  }

  /** What this node tells the others; nothing while nobody needs to know. */
  public BudgetDigest digest(long nowNanos) {
    double usedElsewhere = usedElsewhere(nowNanos);
    double kept = keptUnused(nowNanos);
    int wanted = wanted(0, nowNanos);
    int taken = used.sum(nowNanos);
    boolean quiet = taken == 0 && wanted == 0 && usedElsewhere == 0 && !others.inUse();
    if (quiet || !sharing || nodes.isEmpty()) {
      return BudgetDigest.NONE;
    }
    int hundredths = (int) Math.ceil(HUNDREDTHS * kept);
    return new BudgetDigest(1, requests.sum(nowNanos), taken, wanted, hundredths);
  }

  /** What this node may take within a window, whatever the others take. */
  private double ownKept(long nowNanos) {
    return (1 - partLeft(nowNanos)) * ownPart(nowNanos);
  }

  private double keptUnused(long nowNanos) {
    return Math.max(0, ownKept(nowNanos) - used.sum(nowNanos));
  }

  /** What may be taken of what nobody keeps, within the time until all know of it. */
  private double ofWhatIsLeft(long nowNanos) {
    if (!sharing || nodes.isEmpty()) {
      return 0;
    }
    int known = used.sum(nowNanos) - usedLately.sum(nowNanos);
    double kept = others.kept() / HUNDREDTHS + keptUnused(nowNanos);
    double left = leftByOthers(nowNanos) - known - kept;
    return left > 0 ? left * partOfWants(nowNanos) : 0;
  }

  /**
   * Of all, what others have not taken. It binds also what a node keeps: where requests move from
   * node to node, each may else take its part of a window of its own.
   */
  private double leftByOthers(long nowNanos) {
    double own = ownPart(nowNanos);
    return sharing && nodes.isPresent() ? own + partOfOthers() - usedElsewhere(nowNanos) : own;
  }

  private double ownPart(long nowNanos) {
    return perRequest * requests.sum(nowNanos) + (nodes.isPresent() ? fixed / nodes.getAsInt() : 0);
  }

  /** Nodes that are counted twice while they change relays bring nothing in twice. */
  private double partOfOthers() {
    int told = others.nodes();
    int most = nodes.getAsInt() - 1;
    double once = told > most ? (double) most / told : 1;
    return once * (perRequest * others.requests() + fixed * told / nodes.getAsInt());
  }

  /**
   * Which part of its own this node leaves of what it does not want itself: as much of all as
   * others want, and as they will want in a window once that lasts. A burst of failures comes to
   * all, and to this node a moment later.
   */
  private double partLeft(long nowNanos) {
    double own = ownPart(nowNanos);
    if (!sharing || nodes.isEmpty() || own <= 0) {
      return 0;
    }
    double wanted = Math.max(others.wanted(), wantedTimes * lastingWants(nowNanos));
    double unwanted = Math.max(0, 1 - wantsInWindow.sum(nowNanos) / own);
    return leftToOthers.seen(
        Math.min(Math.min(MOST_LEFT, wanted / (own + partOfOthers())), unwanted), nowNanos);
  }

  /** The least that others were heard to want lately. */
  private double lastingWants(long nowNanos) {
    return MOST_WANTED - notWanted.seen(MOST_WANTED - others.wanted(), nowNanos);
  }

  /** This node's part of what is left: of its own wants, those that all know of. */
  private double partOfWants(long nowNanos) {
    int settled = wanted(0, nowNanos);
    int all = others.wanted() + settled;
    for (int tenths = 1; tenths <= SETTLING_TENTHS; tenths++) {
      settled = Math.min(settled, wanted(tenths, nowNanos));
    }
    return settled == 0 ? 0 : (double) settled / all;
  }

  /**
   * What others have taken within the window, those included that are heard no more: of what these
   * took, each of those that are left bears its part.
   */
  private double usedElsewhere(long nowNanos) {
    int heard = others.nodes() + 1;
    double most = usedByOthers.seen(others.used(), nowNanos);
    double byEach = usedByEach.seen((double) others.used() / heard, nowNanos);
    return Math.max(others.used(), Math.min(most, byEach * heard));
  }

  private int wanted(int leftOutTenths, long nowNanos) {
    return wants.sum(WANTED_TENTHS, leftOutTenths, nowNanos);
  }
}
