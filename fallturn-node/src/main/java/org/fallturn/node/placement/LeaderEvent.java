package org.fallturn.node.placement;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementRequest;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.LoadReport;
import org.fallturn.core.port.engine.OrderAnswer;

/** What the duty of the pool leaders is told. */
sealed interface LeaderEvent {

  /** This node leads a pool from now on. */
  record Acquired(PoolId pool, Epoch epoch, List<EngineState> engines) implements LeaderEvent {}

  /** An engine came within reach. */
  record Fenced(PoolId pool, Epoch epoch, EngineState engine) implements LeaderEvent {}

  /** This node no longer leads a pool. */
  record Lost(PoolId pool, Epoch epoch) implements LeaderEvent {}

  /** A request asks for a place; {@code receivedNanos} is when it came to this node. */
  record Submitted(
      PoolId pool,
      boolean mayQueue,
      PlacementRequest request,
      long receivedNanos,
      CompletableFuture<PlacementAnswer> answer)
      implements LeaderEvent {}

  /** Progress came, and a question after led pools. */
  record Progressed(ProgressBatch batch, CompletableFuture<ProgressAnswer> answer)
      implements LeaderEvent {}

  /** An engine told its state. */
  record StateRead(PoolId pool, Epoch epoch, EngineState state) implements LeaderEvent {}

  /** An engine reported its load. */
  record LoadRead(PoolId pool, Epoch epoch, LoadReport report) implements LeaderEvent {}

  /** An engine told its cache events. */
  record CacheRead(PoolId pool, Epoch epoch, EngineId engine, CacheEvents events)
      implements LeaderEvent {}

  /** A question to an engine got no answer. */
  record PollFailed(PoolId pool, Epoch epoch, EngineId engine, EnginePoller.Kind kind)
      implements LeaderEvent {}

  /** An engine answered a role change. */
  record RoleChangeAnswered(PoolId pool, Epoch epoch, EngineId engine, OrderAnswer answer)
      implements LeaderEvent {}

  /** A role change was not sent or got no answer. */
  record RoleChangeFailed(PoolId pool, Epoch epoch, EngineId engine, String reason)
      implements LeaderEvent {}

  /** An engine answered a load. */
  record LoadAnswered(PoolId pool, Epoch epoch, EngineId engine, OrderAnswer answer)
      implements LeaderEvent {}

  /** A load was not sent or got no answer. */
  record LoadFailed(PoolId pool, Epoch epoch, EngineId engine, ErrorKind kind)
      implements LeaderEvent {}
}
