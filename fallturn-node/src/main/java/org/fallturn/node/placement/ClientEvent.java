package org.fallturn.node.placement;

import java.util.List;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.port.engine.EngineState;

/** What the placement client's duty is told. */
sealed interface ClientEvent {

  /** A request of this node needs a place. */
  record Asked(PendingPlacement pending) implements ClientEvent {}

  /** A leader answered the {@code ask}-th question for a request. */
  record Answered(PendingPlacement pending, int ask, PoolId pool, PlacementAnswer answer)
      implements ClientEvent {}

  /** A leader could not be reached. */
  record CallFailed(PendingPlacement pending, int ask, NodeId leader, String reason)
      implements ClientEvent {}

  /** Something happened to a placed request. */
  record Reported(PlacementProgress progress) implements ClientEvent {}

  /** A leader answered a progress batch. */
  record BatchAnswered(NodeId leader, List<PoolId> asked, List<PoolId> led)
      implements ClientEvent {}

  /** A leader did not answer a progress batch. */
  record BatchFailed(NodeId leader, String reason) implements ClientEvent {}

  /** Engines of a pool without a leader told their states, as far as they answered. */
  record StatesRead(PoolId pool, List<EngineState> states) implements ClientEvent {}
}
