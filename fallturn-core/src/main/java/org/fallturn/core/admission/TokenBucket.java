package org.fallturn.core.admission;

/**
 * Starts full. Fills at a rate that may change, up to what the rate gives in the burst time, but at
 * least one unit. A cost above the capacity is taken when the bucket is full and leaves a debt, so
 * that large requests pass and the mean rate still holds. Not thread-safe.
 */
final class TokenBucket {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double STARTING_PART = 0.25;

  private final double burstSeconds;
  private double level = Double.POSITIVE_INFINITY;
  private long lastNanos;

  TokenBucket(double burstSeconds, long nowNanos) {
    this.burstSeconds = burstSeconds;
    this.lastNanos = nowNanos;
  }

  /** Fills up to now; the rate held since the last call. */
  void fill(double rate, long nowNanos) {
    double seconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
    lastNanos = Math.max(lastNanos, nowNanos);
    level = Math.min(capacity(rate), level + seconds * rate);
  }

  /** Whether a cost can be taken now. */
  boolean has(double cost, double rate) {
    return level >= Math.min(cost, capacity(rate)) && rate > 0;
  }

  void take(double cost) {
    level -= cost;
  }

  /** Adds what a new rate gives in a part of the burst time. */
  void start(double rate) {
    level = Math.min(capacity(rate), level + rate * burstSeconds * STARTING_PART);
  }

  /** Gives back what was taken and not used. */
  void giveBack(double unused) {
    level += unused;
  }

  /** Time until a cost can be taken. */
  double secondsUntil(double cost, double rate) {
    double missing = Math.min(cost, capacity(rate)) - level;
    return rate > 0 ? Math.max(0, missing / rate) : Double.POSITIVE_INFINITY;
  }

  private double capacity(double rate) {
    return Math.max(1, rate * burstSeconds);
  }
}
