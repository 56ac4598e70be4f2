package org.fallturn.node.duty;

import java.util.List;

/**
 * Handles the events and ticks of a {@link DutyThread}. All methods are called on the duty's own
 * thread only, so the handler's state needs no lock.
 *
 * @param <E> type of the events
 */
public interface DutyHandler<E> {

  /**
   * Handles one event. If it throws, the fault is reported and the next event follows, unless the
   * {@link FaultPolicy} ends the duty.
   */
  void onEvent(E event) throws Exception;

  /**
   * Called about once per tick interval, also when no event arrives. A tick that keeps failing may
   * end the duty; work that nothing waits for belongs into {@link #tickParts}.
   */
  void onTick() throws Exception;

  /** Further work of each tick, in this order behind {@link #onTick}; asked once. */
  default List<TickPart> tickParts() {
    return List.of();
  }

  /**
   * Called when no further event is waiting, for handlers that collect events and process them in
   * batches.
   */
  default void onBatchEnd() throws Exception {
    // Most duties process each event by itself.
  }

  /**
   * Called once when the duty ends after a fault or by {@link DutyThread#end}, but not by {@link
   * DutyThread#close}. The duty's state may be inconsistent after a fault, so the handler must give
   * up everything that it holds.
   */
  default void onEnd() throws Exception {
    // Most duties hold nothing that anybody waits for.
  }

  /**
   * Called for each event that the duty's thread takes from the ring after the duty ended, and for
   * an event whose fault ended the duty.
   */
  default void onUnhandledEvent(E event) throws Exception {
    // Most events need no answer.
  }
}
