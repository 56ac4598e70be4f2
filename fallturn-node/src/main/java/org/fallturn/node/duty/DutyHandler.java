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
}
