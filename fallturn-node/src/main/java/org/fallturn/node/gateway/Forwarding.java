package org.fallturn.node.gateway;

import org.eclipse.jetty.server.Handler;
import org.fallturn.node.http.HttpListener;

/** What this node does for the requests of other nodes, at the port where they ask for it. */
final class Forwarding implements AutoCloseable {

  private final PeerPorts ports;
  private final Handler[] handlers;
  private HttpListener listener;

  /**
   * Creates a port that is not open.
   *
   * @param handlers asked in turn until one takes a request
   */
  Forwarding(PeerPorts ports, Handler... handlers) {
    this.ports = ports;
    this.handlers = handlers;
  }

  /** Starts to serve. */
  void start() throws Exception {
    listener = PeerRequestPort.open(ports, handlers);
  }

  @Override
  public void close() throws Exception {
    if (listener != null) {
      listener.close();
    }
  }
}
