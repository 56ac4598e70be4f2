package org.fallturn.node.gateway;

import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.peers.RelayOverlay;
import org.fallturn.core.usage.UsageCounts;

/**
 * The view of the fleet that {@link UsageTally} needs, taken from the relay overlay and the
 * dispatcher. Only the dispatch thread calls.
 *
 * @param node name of this node
 */
record UsageFleet(RelayOverlay overlay, Dispatcher dispatcher, PeerMessenger messenger, String node)
    implements UsageTally.Fleet {

  @Override
  public long incarnation() {
    return overlay.incarnation();
  }

  @Override
  public boolean collects() {
    return overlay.collects();
  }

  @Override
  public boolean leads(long nowNanos) {
    return dispatcher.stages().leads(nowNanos);
  }

  @Override
  public void publish(UsageCounts news) {
    messenger.sendUsage(news);
  }
}
