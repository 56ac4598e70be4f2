package org.fallturn.node.gateway;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;

/** Histogram of durations with bucket bounds that double from 1 ms to about 16 s. Thread-safe. */
final class LatencyHistogram {

  private static final int BOUNDS = 15;

  private final AtomicLongArray buckets = new AtomicLongArray(BOUNDS + 1);
  private final LongAdder sumMillis = new LongAdder();

  void record(long nanos) {
    long millis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos));
    int bucket = 0;
    while (bucket < BOUNDS && millis > upperMillis(bucket)) {
      bucket++;
    }
    buckets.incrementAndGet(bucket);
    sumMillis.add(millis);
  }

  private static long upperMillis(int bucket) {
    return 1L << bucket;
  }

  /** Appends the histogram in Prometheus text format, in ms. */
  void write(String name, StringBuilder text) {
    text.append("# TYPE ").append(name).append(" histogram\n");
    long total = 0;
    for (int bucket = 0; bucket < BOUNDS; bucket++) {
      total += buckets.get(bucket);
      text.append(name).append("_bucket{le=\"").append(upperMillis(bucket)).append("\"} ");
      text.append(total).append('\n');
    }
    total += buckets.get(BOUNDS);
    text.append(name).append("_bucket{le=\"+Inf\"} ").append(total).append('\n');
    text.append(name).append("_sum ").append(sumMillis.sum()).append('\n');
    text.append(name).append("_count ").append(total).append('\n');
  }
}
