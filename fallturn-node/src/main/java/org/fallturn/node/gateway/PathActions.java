package org.fallturn.node.gateway;

import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.domain.NetworkAddress;

/**
 * Carries out what the decisions on the ways to engines ask for: probes links, and tells other
 * threads which engines this node does not reach. Only the dispatch thread calls, except for {@link
 * #unreached()}.
 */
final class PathActions {

  private final Dispatcher dispatcher;
  private final EngineProbe probe;
  private final Supplier<List<NetworkAddress>> peers;
  private volatile Set<String> unreached = Set.of();

  PathActions(Dispatcher dispatcher, EngineProbe probe, Supplier<List<NetworkAddress>> peers) {
    this.dispatcher = dispatcher;
    this.probe = probe;
    this.peers = peers;
  }

  /** Ids of the engines that this node reaches only through others. May be called by any thread. */
  Set<String> unreached() {
    return unreached;
  }

  /** Probes the links that are due; called after each tick of the dispatcher. */
  void onTick(long nowNanos) {
    dispatcher.paths().setPeers(peers.get());
    unreached = dispatcher.paths().engineIdsThroughPeers();
    dispatcher.paths().takeDueProbes(nowNanos).forEach(probe::askPath);
  }

  void onProbed(DispatchEvent.PathProbed probed) {
    dispatcher.paths().onProbed(probed.probe(), probed.reached(), probed.askedNanos());
  }
}
