package org.fallturn.node.gateway;

import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.peers.RelayOverlay;
import org.fallturn.core.usage.UsageCounts;

/**
 * The fleet as the tally of requests sees it. Only the dispatch thread calls.
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
  public void tell(UsageCounts news) {
    messenger.sendUsage(news);
  }
}
