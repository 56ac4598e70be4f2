package org.fallturn.rehearsal.configuration;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Notes when each version came into force on each node. Thread-safe. */
final class SpreadMeter {

  private static final int DIGITS = 3;
  private static final long MAX_MICROS = TimeUnit.MINUTES.toMicros(5);

  private final Map<Long, Map<String, Long>> inForceNanos = new ConcurrentHashMap<>();
  private final Map<Long, Long> acceptedNanos = new ConcurrentHashMap<>();

  void accepted(long version, long nanos) {
    acceptedNanos.put(version, nanos);
  }

  /** A node went from one version to another; those in between are in force as well. */
  void inForce(String node, long before, long version, long nanos) {
    for (long passed = before + 1; passed <= version; passed++) {
      inForceNanos
          .computeIfAbsent(passed, key -> new ConcurrentHashMap<>())
          .putIfAbsent(node, nanos);
    }
  }

  /** Times from acceptance until in force, in microseconds, over all accepted versions. */
  Histogram histogram() {
    Histogram histogram = new Histogram(MAX_MICROS, DIGITS);
    acceptedNanos.forEach(
        (version, accepted) ->
            inForceNanos
                .getOrDefault(version, Map.of())
                .values()
                .forEach(
                    nanos ->
                        histogram.recordValue(
                            TimeUnit.NANOSECONDS.toMicros(Math.max(0, nanos - accepted)))));
    return histogram;
  }
}
