package org.fallturn.core.orders;

import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;

/**
 * State of the orders to one engine, as the leader knows it. Owned by the thread of its {@link
 * PoolOrderBook}.
 */
final class EngineEntry {

  /** Progress of the orders to the engine. */
  enum Phase {
    /**
     * No fence has been acknowledged, or an answer was lost: a fence with a new number must be
     * sent.
     */
    UNCERTAIN,
    /** An order or a fence has been sent and not answered yet. */
    SENT,
    /** The engine is carrying out an order. */
    WORKING,
    /** The state is known and no order is in progress. */
    READY
  }

  private Phase phase = Phase.UNCERTAIN;
  private EngineOrder sent;
  private EngineState state;
  private long retryAtNanos;
  private boolean fenceAttempted;

  EngineEntry(long nowNanos) {
    retryAtNanos = nowNanos;
  }

  Phase phase() {
    return phase;
  }

  /** Returns the order that has been sent; only in phase {@link Phase#SENT}. */
  EngineOrder sent() {
    return sent;
  }

  EngineState state() {
    return state;
  }

  /** Returns whether the first fence was answered or given up. */
  boolean fenceAttempted() {
    return fenceAttempted;
  }

  boolean isFenceDue(long nowNanos) {
    return phase == Phase.UNCERTAIN && nowNanos - retryAtNanos >= 0;
  }

  boolean isWaitingFor(EngineOrder order) {
    return phase == Phase.SENT && order.equals(sent);
  }

  void send(EngineOrder order) {
    phase = Phase.SENT;
    sent = order;
  }

  void markUncertain(long nextRetryNanos) {
    phase = Phase.UNCERTAIN;
    sent = null;
    fenceAttempted = true;
    retryAtNanos = nextRetryNanos;
  }

  void markKnown(EngineState present) {
    state = present;
    sent = null;
    fenceAttempted = true;
    boolean serving = present.activity() == EngineState.Activity.SERVING;
    phase = serving ? Phase.READY : Phase.WORKING;
  }
}
