package org.fallturn.node.gateway;

import org.fallturn.core.following.WatchOrder;
import org.fallturn.core.peers.RelayOverlay;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.StorePosition;

/**
 * What the nodes tell each other about one followed table, by way of the overlay. Thread-safe.
 *
 * @param overlay the connections to other nodes
 * @param table name of the table
 */
record TableReports(RelayOverlay overlay, String table) implements RowFollower.PeerReports {

  @Override
  public StorePosition newestChange() {
    return overlay.tables().newest(table);
  }

  @Override
  public long sinceConfirmedNanos() {
    return overlay.tables().sinceConfirmedByOthers(table, System.nanoTime());
  }

  @Override
  public WatchOrder order() {
    return overlay.watchOrder();
  }

  @Override
  public void onConfirmed(FeedAnswer answer) {
    overlay.tables().onConfirmed(table, answer.position(), answer.storeMillis());
  }
}
