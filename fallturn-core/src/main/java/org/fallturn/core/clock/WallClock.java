package org.fallturn.core.clock;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The Unix time, from a time of day that may step forth and back and a steady clock that stands
 * still while the machine is suspended.
 *
 * <p>Invariant: a step of the time of day counts only once it has lasted for {@link
 * #STEP_LASTS_NANOS}; small differences count at once. Thread-safe.
 */
public final class WallClock {

  /** Of two clocks that go well, one drifts by less than this between two looks at them. */
  private static final long DRIFT_MILLIS = 50;

  /** Steps that are taken back were seen to last some 5 s. */
  private static final long STEP_LASTS_NANOS = TimeUnit.SECONDS.toNanos(8);

  private final LongSupplier nanoClock;
  private final LongSupplier timeOfDayMillis;
  private long offsetMillis;
  private boolean stepped;
  private long steppedNanos;
  private long steppedOffsetMillis;

  /**
   * A clock that believes the present time of day.
   *
   * @param nanoClock the steady clock
   * @param timeOfDayMillis the Unix time as the machine has it
   */
  public WallClock(LongSupplier nanoClock, LongSupplier timeOfDayMillis) {
    this.nanoClock = nanoClock;
    this.timeOfDayMillis = timeOfDayMillis;
    this.offsetMillis = timeOfDayMillis.getAsLong() - steadyMillis(nanoClock.getAsLong());
  }

  /** Unix time in ms; to be asked several times a second. */
  public synchronized long unixMillis() {
    long nanos = nanoClock.getAsLong();
    long seen = timeOfDayMillis.getAsLong() - steadyMillis(nanos);
    if (near(seen, offsetMillis)) {
      offsetMillis = seen;
      stepped = false;
    } else if (!stepped || !near(seen, steppedOffsetMillis)) {
      stepped = true;
      steppedNanos = nanos;
      steppedOffsetMillis = seen;
    } else if (nanos - steppedNanos >= STEP_LASTS_NANOS) {
      offsetMillis = seen;
      stepped = false;
    }
    return steadyMillis(nanos) + offsetMillis;
  }

  private static boolean near(long left, long right) {
    return Math.abs(left - right) <= DRIFT_MILLIS;
  }

  private static long steadyMillis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
