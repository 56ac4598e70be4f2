package org.fallturn.core.admission;

/**
 * Demand a second, admitted or not: the larger one of a mean over the last seconds and of the last
 * half second, so that growth shows at once; zero after a silence that the mean makes unlikely. Not
 * thread-safe.
 */
final class DemandMeter {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long WINDOW_NANOS = 500_000_000L;
  private static final double WINDOWS_PER_SECOND = 2;
  private static final double MEAN_SECONDS = 2;
  private static final double SILENT_GAPS = 4;
  private static final double IDLE_MEAN = 0.5;

  private long windowStartNanos;
  private double before;
  private double present;
  private double mean;
  private long meanNanos;

  DemandMeter(long nowNanos) {
    this.windowStartNanos = nowNanos;
    this.meanNanos = nowNanos;
  }

  void add(double amount, long nowNanos) {
    roll(nowNanos);
    present += amount;
    mean = mean(nowNanos) + amount / MEAN_SECONDS;
    meanNanos = nowNanos;
  }

  double perSecond(long nowNanos) {
    roll(nowNanos);
    double silence = (nowNanos - meanNanos) / NANOS_PER_SECOND;
    if (silence > Math.max(1, SILENT_GAPS / Math.max(mean, IDLE_MEAN))) {
      return 0;
    }
    double passed = (double) (nowNanos - windowStartNanos) / WINDOW_NANOS;
    double recent = present + before * (1 - passed);
    return Math.max(recent * WINDOWS_PER_SECOND, mean(nowNanos));
  }

  private double mean(long nowNanos) {
    double seconds = Math.max(0, nowNanos - meanNanos) / NANOS_PER_SECOND;
    return mean * Math.exp(-seconds / MEAN_SECONDS);
  }

  private void roll(long nowNanos) {
    long windows = (nowNanos - windowStartNanos) / WINDOW_NANOS;
    if (windows > 0) {
      before = windows == 1 ? present : 0;
      present = 0;
      windowStartNanos += windows * WINDOW_NANOS;
    }
  }
}
