package org.fallturn.node.server;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.settings.NodeSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One node: builds its parts, joins them through their ports and starts them in order. Construct
 * and start on one thread; {@link #close()} may be called from another. Parts are closed in the
 * reverse order of their start.
 */
public final class NodeServer implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);

  private final NodeSettings settings;
  private final NodePlumbing plumbing;
  private final HttpRouter peerRouter;
  private final Deque<AutoCloseable> started = new ArrayDeque<>();
  private HttpListener peers;

  /**
   * Builds the parts of a node; nothing listens yet.
   *
   * @throws Exception when the HTTP client cannot start
   */
  public NodeServer(NodeSettings settings) throws Exception {
    this.settings = settings;
    this.plumbing = new NodePlumbing(settings);
    started.push(plumbing);
    this.peerRouter = new HttpRouter(plumbing.codec());
  }

  /**
   * Binds all ports and starts all duties.
   *
   * @throws Exception when a port cannot be bound; what was started is closed again
   */
  public void start() throws Exception {
    try {
      startParts();
    } catch (Exception e) {
      close();
      throw e;
    }
    LOG.info("node: Started {} in zone {}.", plumbing.node(), plumbing.zone());
  }

  private void startParts() throws Exception {
    peers =
        keep(
            new HttpListener(
                "peers", settings.peers().listen(), settings.peers().maxThreads(), peerRouter));
  }

  private <T extends AutoCloseable> T keep(T part) {
    started.push(part);
    return part;
  }

  /** This node's id. */
  public NodeId node() {
    return plumbing.node();
  }

  /** Where other nodes connect, once started. */
  public NetworkAddress peersAddress() {
    return peers.address();
  }

  /** The node's metrics. */
  public PrometheusMeterRegistry metrics() {
    return plumbing.metrics();
  }

  @Override
  public void close() {
    while (!started.isEmpty()) {
      AutoCloseable part = started.pop();
      try {
        part.close();
      } catch (Exception e) {
        LOG.warn("node: {} did not close cleanly.", part.getClass().getSimpleName(), e);
      }
    }
  }
}
