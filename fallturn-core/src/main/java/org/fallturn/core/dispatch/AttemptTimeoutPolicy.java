package org.fallturn.core.dispatch;

import java.time.Duration;
import org.fallturn.core.routing.Route;

/**
 * Timeouts of attempts: how long an attempt may go without any part of an answer before the
 * dispatcher checks whether it is stuck. An attempt whose request could not be sent again is waited
 * for until the caller's deadline. Immutable.
 */
final class AttemptTimeoutPolicy {

  /**
   * Part of a run's timeout that does not depend on the expected time, in target latencies of its
   * route.
   */
  private static final double RUN_TARGETS = 2.0;

  /** Factor for the expected time in the timeout of a run. */
  private static final double RUN_FACTOR = 2.0;

  /** Factor for the expected time in the timeout of a prefill. */
  private static final double PREFILL_FACTOR = 3.0;

  /** Part of a prefill's timeout that does not depend on the expected time. */
  private static final long PREFILL_BASE_NANOS = Duration.ofMillis(300).toNanos();

  /**
   * Timeout of an attempt in which a prefill engine reads the prompt.
   *
   * @param expectedMillis expected time to the first token, in ms
   * @param remainingNanos time until the caller's deadline
   */
  AttemptTimeout forPrefill(double expectedMillis, long remainingNanos) {
    long wanted =
        PREFILL_BASE_NANOS + Duration.ofMillis((long) (PREFILL_FACTOR * expectedMillis)).toNanos();
    return cappedAt(wanted, remainingNanos);
  }

  private static AttemptTimeout cappedAt(long wantedNanos, long limitNanos) {
    long limit = Math.max(0, limitNanos);
    return new AttemptTimeout(Duration.ofNanos(Math.min(wantedNanos, limit)), wantedNanos <= limit);
  }

  /**
   * Timeout of an attempt that runs the request.
   *
   * @param expectedMillis expected time to the first token, in ms; 0 for an application request
   * @param remainingNanos time until the caller's deadline
   */
  AttemptTimeout forRun(RequestProgress progress, double expectedMillis, long remainingNanos) {
    Route route = progress.envelope().route();
    if (!progress.mayGoElsewhere()) {
      return cappedAt(Long.MAX_VALUE, remainingNanos);
    }
    long wanted =
        (long) (RUN_TARGETS * route.targetLatency().toNanos())
            + Duration.ofMillis((long) (RUN_FACTOR * expectedMillis)).toNanos();
    return cappedAt(wanted, remainingNanos);
  }
}
