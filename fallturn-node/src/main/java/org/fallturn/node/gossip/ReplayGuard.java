package org.fallturn.node.gossip;

import java.util.LinkedHashMap;
import java.util.Map;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.GossipMessage;
import org.fallturn.core.membership.ReplayWindow;

/**
 * Refuses messages seen before. Keeps a window for each sender, of a bounded number of senders, the
 * least recently heard dropped first. A message names its receiver, so that one sent to another
 * node cannot be replayed here. Not thread-safe.
 */
final class ReplayGuard {

  private static final int MAX_SENDERS = 4096;

  private final NodeId self;
  private final Map<NodeId, ReplayWindow> windows =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeId, ReplayWindow> eldest) {
          return size() > MAX_SENDERS;
        }
      };

  ReplayGuard(NodeId self) {
    this.self = self;
  }

  /** Whether the message is meant for this node and new. */
  boolean accept(GossipMessage message) {
    if (!message.to().equals(self)) {
      return false;
    }
    ReplayWindow window = windows.computeIfAbsent(message.from(), ignored -> new ReplayWindow());
    return window.accept(message.session(), message.sequence());
  }
}
