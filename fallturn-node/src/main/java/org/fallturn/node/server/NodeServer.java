package org.fallturn.node.server;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.node.gossip.GossipIdentity;
import org.fallturn.node.gossip.GossipModule;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.machines.MachineListModule;
import org.fallturn.node.machines.MachineListSource;
import org.fallturn.node.metrics.HealthRoutes;
import org.fallturn.node.metrics.NodeHealth;
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
  private final NodeHealth health = new NodeHealth();
  private final PlannedStop plannedStop = new PlannedStop(health);
  private final HttpRouter operatorRouter;
  private MachineListModule machines;
  private GossipModule gossip;
  private HttpListener peers;
  private HttpListener operators;

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
    this.operatorRouter = new HttpRouter(plumbing.codec());
    new HealthRoutes(health, plumbing.metrics()).addTo(operatorRouter);
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
    machines =
        new MachineListModule(
            plumbing.client(),
            new MachineListSource(
                settings.platform().machines(),
                settings.platform().machinesInterval(),
                settings.platform().callTimeout()),
            plumbing.node(),
            plumbing.zone(),
            () -> gossip.view());
    machines.addTo(peerRouter);
    peers =
        keep(
            new HttpListener(
                "peers", settings.peers().listen(), settings.peers().maxThreads(), peerRouter));
    operators =
        keep(
            new HttpListener(
                "operators",
                settings.operators().listen(),
                settings.operators().maxThreads(),
                operatorRouter));
    startMembership();
  }

  private void startMembership() throws Exception {
    String host = settings.identity().advertisedHost();
    GossipIdentity identity =
        new GossipIdentity(
            plumbing.node(),
            plumbing.region(),
            plumbing.zone(),
            host,
            new NetworkAddress(host, peers.address().port()));
    gossip =
        keep(
            new GossipModule(
                settings.gossip().parameters(),
                identity,
                settings.gossip().listen(),
                ClusterKey.read(settings.identity()),
                plumbing.codec()));
    gossip.addMachineListNotice(machines::onNewerVersion);
    machines.addListener(gossip::machineList);
    plannedStop.add("gossip", gossip::announceLeaving, () -> true);
    gossip.start();
    keep(machines);
    machines.start();
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

  /** Where operators connect, once started. */
  public NetworkAddress operatorsAddress() {
    return operators.address();
  }

  /** Every port this node listens on, by name, once started. */
  public Map<String, NetworkAddress> addresses() {
    Map<String, NetworkAddress> addresses = new LinkedHashMap<>();
    addresses.put("operators", operatorsAddress());
    addresses.put("peers", peersAddress());
    addresses.put("gossip", gossip.address());
    return addresses;
  }

  /**
   * Stops without cutting a request: not ready, out of the membership, leases handed over, every
   * request ended; then closes.
   *
   * @return whether all this was done within the stop timeout of the settings
   */
  public boolean stopAsPlanned() throws InterruptedException {
    boolean idle = plannedStop.run(settings.identity().stopTimeout());
    close();
    LOG.info("node: Stopped.");
    return idle;
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
