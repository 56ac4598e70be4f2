package org.fallturn.rehearsal.load;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a time in milliseconds.
 *
 * @param count values recorded
 */
public record Percentiles(
    long count, double meanMillis, double p50Millis, double p95Millis, double p99Millis) {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Percentiles of a histogram of nanoseconds. */
  static Percentiles of(Histogram nanos) {
    return new Percentiles(
        nanos.getTotalCount(),
        nanos.getTotalCount() == 0 ? 0 : nanos.getMean() / NANOS_PER_MILLI,
        nanos.getValueAtPercentile(50) / NANOS_PER_MILLI,
        nanos.getValueAtPercentile(95) / NANOS_PER_MILLI,
        nanos.getValueAtPercentile(99) / NANOS_PER_MILLI);
  }
}
