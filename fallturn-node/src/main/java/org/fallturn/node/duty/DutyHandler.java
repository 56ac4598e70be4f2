package org.fallturn.node.duty;

/**
 * What a duty does with its events. Called on the duty's own thread only, so that its state needs
 * no lock.
 *
 * @param <E> type of the events
 */
public interface DutyHandler<E> {

  /** Handles one event. A fault is logged, and the next event follows unless the duty must end. */
  void onEvent(E event) throws Exception;

  /** Called about every tick, also when no event comes. */
  void onTick() throws Exception;

  /** No further event is waiting; for handlers that gather events and act once for many. */
  default void onBatchEnd() throws Exception {
    // Most duties act on each event by itself.
  }

  /** The duty cannot go on, and its state may be unknown: what it holds is to be given up. */
  default void onEnd() throws Exception {
    // Most duties hold nothing that somebody waits for.
  }

  /** An event that came after the end, or that the duty failed on. */
  default void onUnhandledEvent(E event) throws Exception {
    // Most events need no answer.
  }
}
