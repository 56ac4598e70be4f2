package org.fallturn.node.gateway;

import org.fallturn.core.forwarding.ForwardedRequests;
import org.fallturn.node.duty.FaultListener;
import org.fallturn.node.http.HttpListener;

/**
 * What this node does for the requests of other nodes, at the port where they ask for it, and what
 * it tells them of its own.
 */
final class Forwarding implements AutoCloseable {

  private final PeerPorts ports;
  private final EngineForwarder forwarder;
  private final ForwardedRequestsPage ownRequests;
  private final PeerSnapshots tables;
  private HttpListener listener;

  /**
   * Creates a port that is not open.
   *
   * @param ownRequests requests that other nodes send for this one
   * @param tables tables that other nodes read at the same port
   */
  Forwarding(
      PeerPorts ports,
      EngineForwarder forwarder,
      ForwardedRequests ownRequests,
      PeerSnapshots tables) {
    this.ports = ports;
    this.forwarder = forwarder;
    this.ownRequests = new ForwardedRequestsPage(ownRequests);
    this.tables = tables;
  }

  /**
   * Starts to serve.
   *
   * @param faults receives the faults of the thread that keeps the leases
   */
  void start(FaultListener faults) throws Exception {
    forwarder.leases().start(faults);
    listener = PeerRequestPort.open(ports, forwarder, ownRequests, tables);
  }

  /** See {@link EngineForwarder#endForStop}. */
  void endForStop(boolean all) {
    forwarder.endForStop(all);
  }

  @Override
  public void close() throws Exception {
    if (listener != null) {
      listener.close();
    }
    forwarder.leases().close();
  }
}
