package org.fallturn.core.dispatch;

import java.time.Duration;
import org.fallturn.core.routing.Route;

/**
 * How long an attempt may go without a sign of an answer before it is asked whether it is stuck. A
 * request that could not be sent again is waited for until its time is over. Immutable.
 */
final class AttemptTimeoutPolicy {

  private static final double RUN_TARGETS = 2.0;
  private static final double RUN_FACTOR = 2.0;
  private static final double PREFILL_FACTOR = 3.0;
  private static final long PREFILL_BASE_NANOS = Duration.ofMillis(300).toNanos();

  /**
   * For a prompt that is read ahead.
   *
   * @param expectedMillis how long it should take
   */
  AttemptTimeout forPrefill(double expectedMillis, long remainingNanos) {
    long wanted =
        PREFILL_BASE_NANOS + Duration.ofMillis((long) (PREFILL_FACTOR * expectedMillis)).toNanos();
    return within(wanted, remainingNanos);
  }

  private static AttemptTimeout within(long wantedNanos, long mostNanos) {
    long most = Math.max(0, mostNanos);
    return new AttemptTimeout(Duration.ofNanos(Math.min(wantedNanos, most)), wantedNanos <= most);
  }

  /** For a request that runs. */
  AttemptTimeout forRun(RequestProgress progress, double expectedMillis, long remainingNanos) {
    Route route = progress.envelope().route();
    if (!progress.mayGoElsewhere()) {
      return within(Long.MAX_VALUE, remainingNanos);
    }
    long wanted =
        (long) (RUN_TARGETS * route.targetLatency().toNanos())
            + Duration.ofMillis((long) (RUN_FACTOR * expectedMillis)).toNanos();
    return within(wanted, remainingNanos);
  }
}
