package org.fallturn.core.orders;

import org.fallturn.core.domain.Epoch;
import org.fallturn.core.port.engine.EngineState;

/** Meaning of an engine's answer to an order. */
public sealed interface OrderResult {

  /**
   * The engine has raised the fence: older orders can no longer take effect, and the state is
   * exact.
   *
   * @param state the engine's state
   */
  record Fenced(EngineState state) implements OrderResult {}

  /**
   * The engine started the order.
   *
   * @param state the engine's state
   */
  record Accepted(EngineState state) implements OrderResult {}

  /**
   * The engine refused the order, which had no effect.
   *
   * @param state the engine's state
   */
  record Refused(EngineState state) implements OrderResult {}

  /**
   * The engine has accepted a later leadership; this one has ended.
   *
   * @param epoch the later epoch
   */
  record Superseded(Epoch epoch) implements OrderResult {}

  /** The answer is no longer awaited. */
  record Stale() implements OrderResult {}
}
