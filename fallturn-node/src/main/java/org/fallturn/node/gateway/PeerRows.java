package org.fallturn.node.gateway;

import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.table.StoreException;

/** One table as other nodes know it. Calls block for a bounded time. */
interface PeerRows {

  /** Asks some nodes, until one knows the newest change; the newest reading counts. */
  FeedAnswer askAny() throws StoreException;

  /** Asks one node. */
  FeedAnswer ask(NetworkAddress peer) throws StoreException;
}
