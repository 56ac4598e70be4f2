package org.fallturn.core.limits;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * This node's part of a rate that holds over the whole fleet, kept without a trip a request.
 * Permits accrue at the node's part of the rate: by how much it wants against what all tell that
 * they want, so that a node which alone has demand gets nearly all. It answers load that moves
 * between nodes within seconds, and bursts after a quiet time.
 *
 * <p>Invariant: the parts of all nodes add up to no more than the rate, whoever does not hear whom.
 * A node counts its own demand only once the others have surely been told of it, theirs at once;
 * and it takes no more than the part of the fleet that it hears to keep to the limit, so that a
 * node which hears nobody has an equal part. Permits that nobody has asked for are few over the
 * whole fleet, whatever its size, since they may all be used at the same moment. What is known to
 * have been sent by all within the window bounds what else may happen.
 *
 * <p>Callers see to it that one thread calls at a time.
 */
public final class SharedRate {

  /** The window in which requests are counted, in buckets of 100 ms. */
  private static final int WINDOW_TENTHS = 40;

  private static final double WINDOW_SECONDS = WINDOW_TENTHS / 10.0;

  /** Part of what the rate allows in a window that may be sent in it; some come in bursts. */
  private static final double WINDOW_PART = 1.25;

  /** Demand is counted over so long: longer, it follows load that moves too slowly. */
  private static final int DEMAND_TENTHS = 20;

  /** After so long the others know what this node wants: two turns, and the way through relays. */
  private static final int SETTLING_TENTHS = 4;

  private static final long SETTLING_NANOS = TimeUnit.MILLISECONDS.toNanos(100L * SETTLING_TENTHS);

  /** Weight of a request that was asked for, against a node that only keeps a permit ready. */
  private static final int ASKED_WEIGHT = 16;

  /** Over the whole fleet, one permit and what the rate gives in so long are kept ready. */
  private static final double READY_SECONDS = 0.5;

  /** More than so many times as many are given up: some come together by chance. */
  private static final double MOST_READY_TIMES = 2;

  /** A node with demand may send at once what its part gives in so long. */
  private static final double BURST_SECONDS = 0.25;

  /** Time beyond that gives nothing: a node that was paused has no claim to it. */
  private static final long LONGEST_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** A limit of zero is tried so often, since only an answer tells that it has ended. */
  private static final double LEAST_PER_SECOND = 0.2;

  /** More than any fleet sends; keeps sums over nodes within their range. */
  private static final double MOST_PER_SECOND = 1e6;

  private static final Duration LONGEST_WAIT = Duration.ofSeconds(5);
  private static final double NANOS_PER_SECOND = 1e9;

  private final RandomGenerator random;
  private final SlidingCount asked = SlidingCount.ofTenths(DEMAND_TENTHS + SETTLING_TENTHS);
  private final SlidingCount sent = SlidingCount.ofTenths(WINDOW_TENTHS);
  private double perSecond;
  private RateDigest others = RateDigest.NONE;
  private OptionalInt nodes = OptionalInt.empty();
  private double credit;
  private boolean begun;
  private long accruedNanos;
  private boolean filling;
  private long fillingSinceNanos;

  /**
   * A node that has sent nothing.
   *
   * @param random differs from node to node, so that they do not all send at the same moment
   */
  public SharedRate(RandomGenerator random) {
    this.random = random;
    this.credit = random.nextDouble();
  }

  /** Takes the rate that holds over all nodes together. */
  public void setPerSecond(double limit) {
    perSecond = Math.max(LEAST_PER_SECOND, Math.min(limit, MOST_PER_SECOND));
  }

  /**
   * Takes what the others tell.
   *
   * @param told the sum of all that were heard lately
   * @param nodeCount nodes that there may be, this one included; empty while it is not known
   */
  public void setOthers(RateDigest told, OptionalInt nodeCount) {
    others = told;
    nodes = nodeCount;
  }

  /** A request might be sent. */
  public void onAsked(long nowNanos) {
    asked.add(nowNanos);
  }

  /** Whether a request may be sent now. */
  public boolean mayTake(long nowNanos) {
    accrue(nowNanos);
    if (credit < 1) {
      return false;
    }
    if (others.sent() + sent.sum(nowNanos) + 1 <= mostInWindow()) {
      return true;
    }
    // All that wait for the window would else send in the moment in which it has room again.
    credit = random.nextDouble();
    return false;
  }

  private double mostInWindow() {
    return 1 + WINDOW_PART * WINDOW_SECONDS * perSecond;
  }

  /** Takes a permit for a request that is sent now, if it may be. */
  public boolean tryTake(long nowNanos) {
    if (!mayTake(nowNanos)) {
      return false;
    }
    credit--;
    sent.add(nowNanos);
    return true;
  }

  /**
   * A request is sent now that needs no permit. It takes room in the window alone: one that comes
   * as often as a permit accrues would else take all, and no other request would ever be sent.
   */
  public void onSent(long nowNanos) {
    sent.add(nowNanos);
  }

  /** What this node has sent within the last window. */
  public int sent(long nowNanos) {
    return sent.sum(nowNanos);
  }

  /** What this node tells the others. */
  public RateDigest digest(long nowNanos) {
    accrue(nowNanos);
    return new RateDigest(1, weight(wanted(0, nowNanos)), ready(), sent.sum(nowNanos));
  }

  /** About how long it takes until a request may be sent. */
  public Duration untilNext(long nowNanos) {
    accrue(nowNanos);
    double rate = rate(nowNanos);
    double seconds = rate > 0 ? (1 - credit) / rate : LONGEST_WAIT.toSeconds();
    Duration wait = Duration.ofNanos((long) (Math.max(0, seconds) * NANOS_PER_SECOND));
    return wait.compareTo(LONGEST_WAIT) < 0 ? wait : LONGEST_WAIT;
  }

  private int wanted(int leftOutTenths, long nowNanos) {
    return asked.sum(DEMAND_TENTHS, leftOutTenths, nowNanos);
  }

  private int weight(int requests) {
    return ASKED_WEIGHT * requests + (filling ? 1 : 0);
  }

  private int ready() {
    return (int) Math.max(0, credit);
  }

  private double keptReady() {
    return 1 + READY_SECONDS * perSecond;
  }

  private double mostReady() {
    return MOST_READY_TIMES * keptReady();
  }

  private void accrue(long nowNanos) {
    if (!begun) {
      begun = true;
      accruedNanos = nowNanos;
    }
    long passed = Math.max(0, nowNanos - accruedNanos);
    long step = Math.min(passed, LONGEST_STEP_NANOS);
    accruedNanos += passed;
    keepReady(nowNanos);
    double rate = rate(nowNanos);
    double most = (mayKeepAnother(nowNanos) ? 2 : 1) + rate * BURST_SECONDS;
    credit = Math.max(credit, Math.min(most, credit + rate * step / NANOS_PER_SECOND));
    giveUpWhatNobodyAsksFor(step, nowNanos);
  }

  /** Whether this node wants a permit for a request that may come. */
  private void keepReady(long nowNanos) {
    boolean fills = credit < 1 && others.held() < keptReady();
    if (fills && !filling) {
      fillingSinceNanos = nowNanos;
    }
    filling = fills;
  }

  /** Requests come unevenly: what accrues between two of them is not lost. */
  private boolean mayKeepAnother(long nowNanos) {
    return wanted(0, nowNanos) > 0 && others.held() + ready() < mostReady();
  }

  /** Requests a second that this node may send. */
  private double rate(long nowNanos) {
    if (nodes.isEmpty()) {
      return 0;
    }
    double heard = Math.min(1, (1.0 + others.nodes()) / nodes.getAsInt());
    return perSecond * heard * part(nowNanos);
  }

  /** By what the others have been told; an equal part until they have, which is never more. */
  private double part(long nowNanos) {
    int now = weight(wanted(0, nowNanos));
    if (now == 0) {
      return 0;
    }
    int settled = settledWeight(nowNanos);
    return settled > 0 ? (double) settled / (others.weight() + now) : 1.0 / (1 + others.nodes());
  }

  /** What this node wants and has told for long enough. */
  private int settledWeight(long nowNanos) {
    int requests = Math.min(wanted(0, nowNanos), wanted(SETTLING_TENTHS, nowNanos));
    boolean settled = filling && nowNanos - fillingSinceNanos >= SETTLING_NANOS;
    return ASKED_WEIGHT * requests + (settled ? 1 : 0);
  }

  /** Where more is kept ready than may be used at once, each node gives its own up by chance. */
  private void giveUpWhatNobodyAsksFor(long step, long nowNanos) {
    int all = others.held() + ready();
    if (ready() == 0 || all <= mostReady() || wanted(0, nowNanos) > 0) {
      return;
    }
    if (random.nextDouble() < (1 - mostReady() / all) * step / SETTLING_NANOS) {
      credit = random.nextDouble();
    }
  }
}
