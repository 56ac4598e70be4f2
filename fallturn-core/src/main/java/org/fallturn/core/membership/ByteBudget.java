package org.fallturn.core.membership;

/**
 * Token bucket over the bytes a node sends. It never lets through more than the burst plus the rate
 * times the time passed. Not thread-safe.
 */
final class ByteBudget {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final int BURST_SECONDS = 4;
  private static final int SMALL_RESERVE_DIVISOR = 4;

  private final long bytesPerSecond;
  private final double burstBytes;
  private double availableBytes;
  private long refilledAtNanos;

  ByteBudget(long bytesPerSecond, long nowNanos) {
    this.bytesPerSecond = bytesPerSecond;
    this.burstBytes = (double) bytesPerSecond * BURST_SECONDS;
    this.availableBytes = burstBytes;
    this.refilledAtNanos = nowNanos;
  }

  /** Bytes that may be sent now while {@code reserveBytes} stay for probes and answers. */
  long available(long nowNanos, long reserveBytes) {
    refill(nowNanos);
    return (long) availableBytes - reserveBytes;
  }

  /** Takes bytes, or says that they are not there. */
  boolean take(long nowNanos, long bytes) {
    refill(nowNanos);
    if (bytes > availableBytes) {
      return false;
    }
    availableBytes -= bytes;
    return true;
  }

  /** Bytes kept back for probes, answers and urgent payloads: what one second brings. */
  long reserve() {
    return bytesPerSecond;
  }

  /** Bytes kept back for probes and answers alone. */
  long smallReserve() {
    return bytesPerSecond / SMALL_RESERVE_DIVISOR;
  }

  private void refill(long nowNanos) {
    double earned = (double) (nowNanos - refilledAtNanos) * bytesPerSecond / NANOS_PER_SECOND;
    availableBytes = Math.min(burstBytes, availableBytes + Math.max(0, earned));
    refilledAtNanos = Math.max(refilledAtNanos, nowNanos);
  }
}
