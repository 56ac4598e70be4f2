package org.fallturn.node.gateway;

import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.table.StoreException;

/**
 * Reads one table from other nodes. What they know may be older than what the store holds. Calls
 * block for a bounded time.
 */
interface PeerRows {

  /**
   * Asks several nodes in turn until one knows the newest change that any node has seen; returns
   * the newest answer.
   */
  FeedAnswer askAny() throws StoreException;

  /** Asks the given node. */
  FeedAnswer ask(NetworkAddress peer) throws StoreException;
}
