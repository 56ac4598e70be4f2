package org.fallturn.core.lease;

import java.util.concurrent.CompletionStage;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;

/**
 * Port through which a pool's leader orders its engines. The implementation numbers each order and
 * checks the lease by a monotonic clock right before the send. Thread-safe, never blocks.
 */
public interface EngineOrderService {

  /**
   * Sends one order. The stage fails with a checked {@link
   * org.fallturn.core.error.FallturnException} when this node may not order the pool's engines now
   * (nothing was sent) or when no answer came (the engine's state must be read before the next
   * order).
   */
  CompletionStage<OrderAnswer> order(PoolId pool, EngineId engine, EngineCommand command);

  /**
   * An engine was seen with another incarnation than before: it has restarted without its fence and
   * is fenced again.
   */
  default void onRestartSeen(PoolId pool, EngineState state) {}
}
