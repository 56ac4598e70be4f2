package org.fallturn.node.lease;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.LoadDemand;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;

/** What the order duty is told. */
sealed interface OrderEvent {

  /** A leadership has begun or ended; the rights to order tell which. */
  record LeadershipChanged() implements OrderEvent {}

  /** Someone wants an order sent. */
  record Submit(
      PoolId pool, EngineId engine, EngineCommand command, CompletableFuture<OrderAnswer> answer)
      implements OrderEvent {}

  /** An engine answered, or did not. */
  record Answered(
      PoolId pool,
      Epoch epoch,
      EngineId engine,
      EngineOrder order,
      Optional<OrderAnswer> answer,
      Optional<CompletableFuture<OrderAnswer>> asker)
      implements OrderEvent {}

  /** An engine's state was read. */
  record StateRead(PoolId pool, Epoch epoch, EngineId engine, EngineState state)
      implements OrderEvent {}

  /** What every pool wants of the weight store. */
  record DemandsScanned(Map<PoolId, LoadDemand> demands) implements OrderEvent {}
}
