package org.fallturn.node.server;

import java.util.List;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.LeadershipListener;
import org.fallturn.core.port.engine.EngineState;

/**
 * Passes leadership events on to a listener that is built after their source. The listener is set
 * before the source starts.
 */
final class LeadershipRelay implements LeadershipListener {

  private volatile LeadershipListener listener;

  void relayTo(LeadershipListener target) {
    listener = target;
  }

  @Override
  public void onAcquired(PoolId pool, Epoch epoch, List<EngineState> engines) {
    listener.onAcquired(pool, epoch, engines);
  }

  @Override
  public void onEngineFenced(PoolId pool, Epoch epoch, EngineState engine) {
    listener.onEngineFenced(pool, epoch, engine);
  }

  @Override
  public void onLost(PoolId pool, Epoch epoch) {
    listener.onLost(pool, epoch);
  }
}
