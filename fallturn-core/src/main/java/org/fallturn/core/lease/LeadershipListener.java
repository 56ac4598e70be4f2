package org.fallturn.core.lease;

import java.util.List;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.port.engine.EngineState;

/** Told when this node gains or loses the leadership of a pool. Called on the lease duty thread. */
public interface LeadershipListener {

  /**
   * This node leads the pool: the old lease has run out, and every reachable engine has
   * acknowledged the fence and told its state.
   */
  void onAcquired(PoolId pool, Epoch epoch, List<EngineState> engines);

  /** An engine came (back) within reach after the leadership began, fenced, with its state. */
  void onEngineFenced(PoolId pool, Epoch epoch, EngineState engine);

  /** This node no longer leads the pool, or no longer knows that it does. */
  void onLost(PoolId pool, Epoch epoch);
}
