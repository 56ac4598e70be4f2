package org.fallturn.rehearsal.modelcheck;

import java.util.random.RandomGenerator;

/** A process's monotonic clock: its own zero and its own rate. */
final class SimulatedClock {

  private static final double MAX_DRIFT = 0.02;
  private static final long MAX_OFFSET_NANOS = 1_000_000_000_000L;

  private final long offsetNanos;
  private final double rate;

  SimulatedClock(RandomGenerator random) {
    offsetNanos = random.nextLong(-MAX_OFFSET_NANOS, MAX_OFFSET_NANOS);
    rate = 1 + random.nextDouble(-MAX_DRIFT, MAX_DRIFT);
  }

  long now(long trueNanos) {
    return offsetNanos + (long) (trueNanos * rate);
  }
}
