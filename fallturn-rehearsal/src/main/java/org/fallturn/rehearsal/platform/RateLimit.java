package org.fallturn.rehearsal.platform;

/** A token bucket that holds one second's worth. Any thread may call. */
final class RateLimit {

  private static final double NANOS_PER_SECOND = 1e9;

  private final double perSecond;
  private double available;
  private long lastNanos;

  RateLimit(double perSecond, long nowNanos) {
    this.perSecond = perSecond;
    this.available = perSecond;
    this.lastNanos = nowNanos;
  }

  /** Takes an amount whole or not at all. */
  synchronized boolean tryTake(double amount, long nowNanos) {
    refill(nowNanos);
    if (available < amount) {
      return false;
    }
    available -= amount;
    return true;
  }

  /** Takes as much of an amount as there is. */
  synchronized double takeUpTo(double amount, long nowNanos) {
    refill(nowNanos);
    double taken = Math.min(amount, available);
    available -= taken;
    return taken;
  }

  private void refill(long nowNanos) {
    double elapsedSeconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
    available = Math.min(perSecond, available + elapsedSeconds * perSecond);
    lastNanos = Math.max(lastNanos, nowNanos);
  }
}
