package org.fallturn.core.orders;

import org.fallturn.core.port.engine.EngineOrder;

/** Decision on whether an order may be sent. */
public sealed interface OrderDecision {

  /**
   * The order may be sent, provided that the lease still holds.
   *
   * @param order the numbered order
   */
  record Send(EngineOrder order) implements OrderDecision {}

  /**
   * The order must not be sent.
   *
   * @param reason the reason
   */
  record Refused(Reason reason) implements OrderDecision {}

  /** Reasons for not sending an order. */
  enum Reason {
    /** The engine does not belong to the pool. */
    UNKNOWN_ENGINE,
    /** The engine has not acknowledged the fence of this leadership, or its state is uncertain. */
    NOT_FENCED,
    /** An earlier order is still in progress. */
    IN_PROGRESS,
    /** The pool's share of the weight store is in use. */
    LOADS_LIMITED
  }
}
