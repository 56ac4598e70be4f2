package org.fallturn.core.orders;

import org.fallturn.core.port.engine.EngineOrder;

/** Whether an order may be sent. */
public sealed interface OrderDecision {

  /**
   * Send it, provided that the lease still holds.
   *
   * @param order the numbered order
   */
  record Send(EngineOrder order) implements OrderDecision {}

  /**
   * Do not send it.
   *
   * @param reason why
   */
  record Refused(Reason reason) implements OrderDecision {}

  /** The closed list of reasons. */
  enum Reason {
    /** The engine is not one of the pool's. */
    UNKNOWN_ENGINE,
    /** The engine has not acknowledged this leadership's fence, or its state is uncertain. */
    NOT_FENCED,
    /** An earlier order is still in progress. */
    IN_PROGRESS,
    /** The pool's share of the weight store is in use. */
    LOADS_LIMITED
  }
}
