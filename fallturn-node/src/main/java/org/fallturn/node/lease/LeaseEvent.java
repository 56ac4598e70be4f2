package org.fallturn.node.lease;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.ConsentAnswer;
import org.fallturn.core.lease.ConsentRequest;
import org.fallturn.core.lease.LeaseRow;
import org.fallturn.core.lease.LoadDemand;
import org.fallturn.core.lease.PromiseAnswer;
import org.fallturn.core.lease.PromiseRequest;
import org.fallturn.core.port.engine.EngineState;

/** What the lease duty is told by the other duties and by peers. */
sealed interface LeaseEvent {

  /** Rows were read. */
  record RowsRead(List<LeaseRow> rows) implements LeaseEvent {}

  /** A read got no usable answer. */
  record ReadFailed() implements LeaseEvent {}

  /** A batch of writes took effect. */
  record Committed(long batch) implements LeaseEvent {}

  /** A batch of writes had no effect because of these rows. */
  record Conflict(long batch, List<LeaseRow> present) implements LeaseEvent {}

  /** A batch of writes certainly had no effect. */
  record NoEffect(long batch) implements LeaseEvent {}

  /** It is unknown whether a batch of writes took effect. */
  record Unknown(long batch) implements LeaseEvent {}

  /** A holder asks this node as a witness. */
  record PromiseAsked(PromiseRequest request, CompletableFuture<PromiseAnswer> answer)
      implements LeaseEvent {}

  /** A challenger asks this node as a witness. */
  record ConsentAsked(ConsentRequest request, CompletableFuture<ConsentAnswer> answer)
      implements LeaseEvent {}

  /** A witness answered this node as the holder. */
  record PromiseAnswered(PromiseRequest request, PromiseAnswer answer, long askedNanos)
      implements LeaseEvent {}

  /** A witness answered this node as the challenger. */
  record ConsentAnswered(ConsentRequest request, ConsentAnswer answer) implements LeaseEvent {}

  /** Every engine's first fence was answered or given up. */
  record PoolFenced(PoolId pool, Epoch epoch, List<EngineState> states) implements LeaseEvent {}

  /** An engine was fenced later, or has finished an order. */
  record EngineKnown(PoolId pool, Epoch epoch, EngineState state) implements LeaseEvent {}

  /** A later leadership is known. */
  record Superseded(PoolId pool, Epoch epoch) implements LeaseEvent {}

  /** What a pool wants of the weight store. */
  record LoadsWanted(PoolId pool, LoadDemand demand) implements LeaseEvent {}

  /** This node is leaving. */
  record Leave(CompletableFuture<Void> released) implements LeaseEvent {}
}
