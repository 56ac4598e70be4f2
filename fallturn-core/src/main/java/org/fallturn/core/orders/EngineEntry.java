package org.fallturn.core.orders;

import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;

/** What a leader knows of one engine's orders. Owned by the thread of its {@link PoolOrderBook}. */
final class EngineEntry {

  /** Where the engine stands. */
  enum Phase {
    /** No fence acknowledged, or a lost answer: a fence with a fresh number must go out. */
    UNCERTAIN,
    /** An order or a fence is on its way. */
    SENT,
    /** The engine carries out an order. */
    WORKING,
    /** The state is known and nothing is in progress. */
    READY
  }

  private Phase phase = Phase.UNCERTAIN;
  private EngineOrder sent;
  private EngineState state;
  private long retryAtNanos;
  private boolean attempted;

  EngineEntry(long nowNanos) {
    retryAtNanos = nowNanos;
  }

  Phase phase() {
    return phase;
  }

  /** The order on its way; only in phase {@link Phase#SENT}. */
  EngineOrder sent() {
    return sent;
  }

  EngineState state() {
    return state;
  }

  /** Whether its first fence was answered or given up. */
  boolean attempted() {
    return attempted;
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

  void uncertain(long retryAt) {
    phase = Phase.UNCERTAIN;
    sent = null;
    attempted = true;
    retryAtNanos = retryAt;
  }

  void known(EngineState present) {
    state = present;
    sent = null;
    attempted = true;
    boolean serving = present.activity() == EngineState.Activity.SERVING;
    phase = serving ? Phase.READY : Phase.WORKING;
  }
}
