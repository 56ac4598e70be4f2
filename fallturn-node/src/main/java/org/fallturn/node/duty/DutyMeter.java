package org.fallturn.node.duty;

/**
 * Measures how late a duty is and what takes its time. Called on the duty's thread, after each
 * event and tick; must not throw.
 *
 * @param <E> type of the events
 */
public interface DutyMeter<E> {

  /**
   * An event was handled.
   *
   * @param waitedNanos from its offer to the begin of its handling
   * @param tookNanos time that its handling took
   */
  void onEvent(E event, long waitedNanos, long tookNanos);

  /**
   * A tick ended.
   *
   * @param lateNanos how much later than the tick interval it began; up to the idle interval when
   *     no event has arrived for a second
   * @param tookNanos time that it took
   */
  void onTick(long lateNanos, long tookNanos);

  /** Returns a meter that measures nothing. */
  static <E> DutyMeter<E> none() {
    return new DutyMeter<>() {
      @Override
      public void onEvent(E event, long waitedNanos, long tookNanos) {
        // Nobody reads the measurements.
      }

      @Override
      public void onTick(long lateNanos, long tookNanos) {
        // Nobody reads the measurements.
      }
    };
  }
}
