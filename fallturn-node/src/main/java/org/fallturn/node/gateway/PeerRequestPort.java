package org.fallturn.node.gateway;

import java.time.Duration;
import org.eclipse.jetty.server.Handler;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.ListenerLimits;

/**
 * The port at which other nodes ask for tables and have their requests forwarded. It takes what
 * callers may send to any node, since other nodes forward it as it came.
 */
final class PeerRequestPort {

  private static final ListenerLimits LIMITS =
      new ListenerLimits(4, 2_048, 64 * 1024, Duration.ofSeconds(60));

  private PeerRequestPort() {}

  /**
   * Starts to serve.
   *
   * @param handlers asked in turn until one takes a request
   */
  static HttpListener open(PeerPorts ports, Handler... handlers) throws Exception {
    return new HttpListener("peers", ports.requests(), LIMITS, new Handler.Sequence(handlers));
  }
}
