package org.fallturn.core.admission;

import java.time.Duration;

/**
 * One node's part of one limit: its local fraction, the share it holds until it expires, and what
 * it uses of both. Not thread-safe.
 */
final class LocalQuota {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double SPARE_REQUESTS = 2;
  private static final double SPARSE_PER_SECOND = 2;
  private static final long FRESH_AFTER_NANOS = 1_000_000_000L;
  private static final double IDLE_PER_SECOND = 0.01;
  private static final double SMALL_FRACTION = 0.02;

  private final QuotaParameters parameters;
  private final long durationNanos;
  private final TokenBucket requestBucket;
  private final TokenBucket tokenBucket;
  private final DemandMeter requestDemand;
  private final DemandMeter tokenDemand;
  private QuotaAmounts limit = QuotaAmounts.NONE;
  private QuotaAmounts local = QuotaAmounts.NONE;
  private QuotaAmounts share = QuotaAmounts.NONE;
  private long shareUntilNanos;
  private int running;
  private int waiting;
  private double peakRunning;
  private double peakWaiting;
  private boolean refused;
  private boolean contended;
  private long grantedNanos;
  private boolean hasLimit;

  LocalQuota(QuotaParameters parameters, long nowNanos) {
    this.parameters = parameters;
    this.durationNanos = parameters.shareDuration().toNanos();
    double burstSeconds = parameters.burst().toNanos() / NANOS_PER_SECOND;
    this.requestBucket = new TokenBucket(burstSeconds, nowNanos);
    this.tokenBucket = new TokenBucket(burstSeconds, nowNanos);
    this.requestDemand = new DemandMeter(nowNanos);
    this.tokenDemand = new DemandMeter(nowNanos);
    this.shareUntilNanos = nowNanos - FRESH_AFTER_NANOS;
  }

  /** The whole limit, and so what this node has of it for good. */
  void setLimit(QuotaAmounts whole, int nodes, long nowNanos) {
    if (hasLimit) {
      fill(nowNanos);
    }
    hasLimit = true;
    limit = whole;
    local = parameters.localShare(whole, nodes);
  }

  /** A share from the owner, in place of the one before. */
  void setShare(QuotaAmounts amounts, boolean isContended, long untilNanos, long nowNanos) {
    fill(nowNanos);
    boolean fresh = nowNanos - shareUntilNanos >= FRESH_AFTER_NANOS;
    share = amounts;
    shareUntilNanos = untilNanos;
    contended = isContended;
    if (fresh) {
      requestBucket.start(amounts.requests());
      tokenBucket.start(amounts.tokens());
    }
    grantedNanos = nowNanos;
  }

  /** Whether the whole fleet lately asked for more than the limit: waiting would not help. */
  boolean isContended(long nowNanos) {
    return contended && nowNanos - grantedNanos < 2 * parameters.shareInterval().toNanos();
  }

  /** The share held now; nothing once it has expired. */
  QuotaAmounts share(long nowNanos) {
    return shareUntilNanos - nowNanos > 0 ? share : QuotaAmounts.NONE;
  }

  /** Notes that a request came, whether it will be admitted or not. */
  void demand(double tokens, long nowNanos) {
    requestDemand.add(1, nowNanos);
    tokenDemand.add(tokens, nowNanos);
    peakRunning = Math.max(peakRunning, running + 1.0);
    peakWaiting = Math.max(peakWaiting, waiting + 1.0);
  }

  /** Which part of the limit does not admit a request now; null when all do. */
  QuotaPart blocking(double tokens, long nowNanos) {
    QuotaAmounts usable = fill(nowNanos);
    QuotaPart part = null;
    if (!requestBucket.has(1, usable.requests())) {
      part = QuotaPart.REQUESTS_PER_SECOND;
    } else if (tokens > 0 && !tokenBucket.has(tokens, usable.tokens())) {
      part = QuotaPart.TOKENS_PER_SECOND;
    } else if (running >= usable.concurrent()) {
      part = QuotaPart.CONCURRENT;
    } else if (waiting >= usable.queued()) {
      part = QuotaPart.QUEUED;
    }
    refused |= part != null;
    return part;
  }

  void take(double tokens) {
    requestBucket.take(1);
    tokenBucket.take(tokens);
    running++;
    waiting++;
  }

  void placed() {
    waiting--;
  }

  void finished(double unusedTokens) {
    running--;
    tokenBucket.giveBack(unusedTokens);
  }

  /** When a refused request had better come back. */
  Duration retryAfter(double tokens, long nowNanos) {
    QuotaAmounts usable = fill(nowNanos);
    double seconds =
        Math.max(
            requestBucket.secondsUntil(1, usable.requests()),
            tokenBucket.secondsUntil(tokens, usable.tokens()));
    return Duration.ofMillis((long) (1000 * Math.min(60, Math.max(1, seconds))));
  }

  /** Whether the local fraction may not be enough for the present demand. */
  boolean needsShare(long nowNanos) {
    if (isIdle(nowNanos)) {
      return false;
    }
    QuotaAmounts demand = demand(nowNanos);
    boolean sparse = demand.requests() <= SPARSE_PER_SECOND && running <= SPARSE_PER_SECOND;
    return refused || !sparse && !demand.plus(demand).isWithin(local);
  }

  private QuotaAmounts demand(long nowNanos) {
    return new QuotaAmounts(
        requestDemand.perSecond(nowNanos),
        tokenDemand.perSecond(nowNanos),
        running + 1.0,
        waiting + 1.0);
  }

  /**
   * Whether the owner should hear of this quota now: more is needed, the share is running out, or
   * much of it could serve others. A small share that is not needed just expires.
   */
  boolean isDue(long nowNanos) {
    QuotaAmounts held = share(nowNanos);
    boolean needed = needsShare(nowNanos);
    if (!needed) {
      return !held.isWithin(limit.fraction(SMALL_FRACTION));
    }
    QuotaAmounts wish = wanted(nowNanos);
    boolean runsOut = shareUntilNanos - nowNanos < durationNanos / 2;
    boolean spare = !held.isWithin(wish.plus(wish).plus(limit.fraction(SMALL_FRACTION)));
    return refused || runsOut || spare || !wish.min(limit).isWithin(held.plus(local));
  }

  /** The share this node would like to hold; forgets the peaks noted so far. */
  QuotaAmounts takeWanted(long nowNanos) {
    QuotaAmounts need = wanted(nowNanos);
    peakRunning = running;
    peakWaiting = waiting;
    refused = false;
    return need;
  }

  private QuotaAmounts wanted(long nowNanos) {
    return new QuotaAmounts(
        QuotaLedger.HEADROOM * requestDemand.perSecond(nowNanos) + SPARE_REQUESTS,
        QuotaLedger.HEADROOM * tokenDemand.perSecond(nowNanos) + 1,
        Math.ceil(QuotaLedger.HEADROOM * peakRunning) + SPARE_REQUESTS,
        Math.ceil(QuotaLedger.HEADROOM * peakWaiting) + SPARE_REQUESTS);
  }

  /** Gives back what is above the need, and says what is held after that. */
  QuotaAmounts shrinkTo(QuotaAmounts wanted, long nowNanos) {
    fill(nowNanos);
    share = share(nowNanos).min(wanted.max(inUse()));
    if (share.equals(QuotaAmounts.NONE)) {
      shareUntilNanos = Math.min(shareUntilNanos, nowNanos);
    }
    return held(nowNanos);
  }

  /**
   * What nobody else may be given: the share, and the requests in progress that a share since
   * lowered or expired had admitted.
   */
  QuotaAmounts held(long nowNanos) {
    return share(nowNanos).max(inUse().minus(local));
  }

  private QuotaAmounts inUse() {
    return new QuotaAmounts(0, 0, running, waiting);
  }

  boolean isIdle(long nowNanos) {
    return running == 0 && requestDemand.perSecond(nowNanos) < IDLE_PER_SECOND;
  }

  /** What may be used now. */
  QuotaAmounts usable(long nowNanos) {
    return local.plus(share(nowNanos));
  }

  private QuotaAmounts fill(long nowNanos) {
    QuotaAmounts usable = usable(nowNanos);
    requestBucket.fill(usable.requests(), nowNanos);
    tokenBucket.fill(usable.tokens(), nowNanos);
    return usable;
  }
}
