package org.fallturn.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.fallturn.core.domain.NodeId;

/**
 * An owner's book of the shares of one limit. Invariant: the sum of what is committed, and so of
 * what any node may use by this owner's grants, never passes the pool. A holder counts with the
 * largest share it may believe to have. An expired share is not free before its holder confirms
 * what it holds, for another owner may have renewed it meanwhile; a holder that cannot be reached
 * is waited out. Not thread-safe.
 */
final class QuotaLedger {

  /** Holders ask for this factor of their demand. */
  static final double HEADROOM = 2;

  private static final double CONTENDED_ABOVE = 1.25;

  private final long durationNanos;
  private final long waitOutNanos;
  private final Map<NodeId, Entry> entries = new HashMap<>();

  private record Entry(QuotaAmounts committed, QuotaAmounts wanted, long untilNanos) {

    boolean isExpired(long nowNanos) {
      return untilNanos - nowNanos <= 0;
    }
  }

  /**
   * An empty book.
   *
   * @param durationNanos how long a share holds
   * @param waitOutNanos how long after its expiry the share of an unreachable holder counts
   */
  QuotaLedger(long durationNanos, long waitOutNanos) {
    this.durationNanos = durationNanos;
    this.waitOutNanos = waitOutNanos;
  }

  /** A holder says what it holds; of no interest while a share granted here is running. */
  void confirm(NodeId holder, QuotaAmounts holding, long nowNanos) {
    Entry entry = entries.get(holder);
    if (entry != null && !entry.isExpired(nowNanos)) {
      return;
    }
    if (holding.equals(QuotaAmounts.NONE)) {
      entries.remove(holder);
    } else {
      entries.put(holder, new Entry(holding, holding, nowNanos + durationNanos));
    }
  }

  /** A holder is gone for good. */
  void forget(NodeId holder) {
    entries.remove(holder);
  }

  /** Holders whose shares have expired and who have not said what they hold. */
  Set<NodeId> unconfirmed(long nowNanos) {
    Set<NodeId> holders = new HashSet<>();
    entries.forEach(
        (holder, entry) -> {
          if (entry.isExpired(nowNanos)) {
            holders.add(holder);
          }
        });
    return holders;
  }

  Set<NodeId> holders() {
    return Set.copyOf(entries.keySet());
  }

  /**
   * Gives a holder its new share.
   *
   * @param pool what may be given out in all
   */
  QuotaAmounts grant(
      NodeId holder, QuotaAmounts holding, QuotaAmounts wanted, QuotaAmounts pool, long nowNanos) {
    forgetWaitedOut(nowNanos);
    put(holder, holding, wanted, nowNanos);
    QuotaAmounts free = pool.minus(committedByOthers(holder));
    QuotaAmounts share = wholeNumbers(fair(wanted, pool).max(generous(free, wanted)).min(free));
    put(holder, holding.max(share), wanted, nowNanos);
    return share;
  }

  /** Lets a holder keep what it holds, while other shares may be unknown. */
  QuotaAmounts renew(NodeId holder, QuotaAmounts holding, QuotaAmounts wanted, long nowNanos) {
    put(holder, holding, wanted, nowNanos);
    return holding;
  }

  private void put(NodeId holder, QuotaAmounts committed, QuotaAmounts wanted, long nowNanos) {
    if (committed.equals(QuotaAmounts.NONE) && wanted.equals(QuotaAmounts.NONE)) {
      entries.remove(holder);
    } else {
      entries.put(holder, new Entry(committed, wanted, nowNanos + durationNanos));
    }
  }

  /** What is given out of a limit now. */
  QuotaUsage usage(QuotaKey key) {
    QuotaAmounts leased = QuotaAmounts.NONE;
    QuotaAmounts asked = QuotaAmounts.NONE;
    for (Entry entry : entries.values()) {
      leased = leased.plus(entry.committed());
      asked = asked.plus(entry.wanted());
    }
    return new QuotaUsage(key, leased, asked, entries.size());
  }

  /** Whether the holders' demand in all is above the limit. */
  boolean isContended(QuotaAmounts limit) {
    double requests = 0;
    double tokens = 0;
    for (Entry entry : entries.values()) {
      requests += entry.wanted().requests() / HEADROOM;
      tokens += entry.wanted().tokens() / HEADROOM;
    }
    return requests - entries.size() > CONTENDED_ABOVE * limit.requests()
        || tokens > CONTENDED_ABOVE * limit.tokens();
  }

  private void forgetWaitedOut(long nowNanos) {
    entries.values().removeIf(entry -> entry.untilNanos() + waitOutNanos - nowNanos <= 0);
  }

  private QuotaAmounts committedByOthers(NodeId holder) {
    QuotaAmounts sum = QuotaAmounts.NONE;
    for (Map.Entry<NodeId, Entry> entry : entries.entrySet()) {
      if (!entry.getKey().equals(holder)) {
        sum = sum.plus(entry.getValue().committed());
      }
    }
    return sum;
  }

  /** More than is asked for, when there is plenty: growing traffic need not ask for each step. */
  private QuotaAmounts generous(QuotaAmounts free, QuotaAmounts wanted) {
    return free.fraction(1.0 / (entries.size() + 1))
        .min(wanted.plus(wanted).plus(wanted.plus(wanted)));
  }

  private QuotaAmounts fair(QuotaAmounts wanted, QuotaAmounts budget) {
    return wanted.min(
        new QuotaAmounts(
            level(budget, QuotaAmounts::requests),
            level(budget, QuotaAmounts::tokens),
            level(budget, QuotaAmounts::concurrent),
            level(budget, QuotaAmounts::queued)));
  }

  private double level(QuotaAmounts budget, ToDoubleFunction<QuotaAmounts> part) {
    List<Entry> all = List.copyOf(entries.values());
    double[] demands = new double[all.size()];
    for (int index = 0; index < demands.length; index++) {
      demands[index] = part.applyAsDouble(all.get(index).wanted());
    }
    return FairDivision.level(part.applyAsDouble(budget), demands);
  }

  private static QuotaAmounts wholeNumbers(QuotaAmounts share) {
    return new QuotaAmounts(
        share.requests(),
        share.tokens(),
        Math.floor(share.concurrent()),
        Math.floor(share.queued()));
  }
}
