package org.fallturn.node.duty;

/**
 * What a duty does with its events. Called on the duty's own thread only, so that its state needs
 * no lock.
 *
 * @param <E> type of the events
 */
public interface DutyHandler<E> {

  /** Handles one event. An exception is logged and the next event follows. */
  void onEvent(E event) throws Exception;

  /** Called about every tick, also when no event comes. */
  void onTick() throws Exception;

  /** No further event is waiting; for handlers that gather events and act once for many. */
  default void onBatchEnd() throws Exception {
    // Most duties act on each event by itself.
  }
}
