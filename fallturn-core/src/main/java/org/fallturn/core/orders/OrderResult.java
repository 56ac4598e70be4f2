package org.fallturn.core.orders;

import org.fallturn.core.domain.Epoch;
import org.fallturn.core.port.engine.EngineState;

/** What an engine's answer to an order means. */
public sealed interface OrderResult {

  /**
   * The fence is up; older orders can no longer take effect and the state is exact.
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
   * The engine obeys a later leadership; this one is over.
   *
   * @param epoch the later epoch
   */
  record Superseded(Epoch epoch) implements OrderResult {}

  /** An answer that is no longer waited for. */
  record Stale() implements OrderResult {}
}
