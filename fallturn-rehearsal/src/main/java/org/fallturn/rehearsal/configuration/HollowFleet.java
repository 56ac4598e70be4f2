package org.fallturn.rehearsal.configuration;

import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.NetworkTrafficListener;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkTrafficServerConnector;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.configuration.ConfigurationOptions;
import org.fallturn.node.configuration.LocalNode;
import org.fallturn.node.configuration.ZoneNodes;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.objectstore.HttpObjectStore;
import org.fallturn.node.table.HttpTableService;
import org.fallturn.rehearsal.platform.PlatformSettings;
import org.fallturn.rehearsal.platform.PlatformStandIn;

/**
 * Nodes in one process that have nothing but their configuration: each its own port, duty threads
 * and image, all one HTTP server and client. What gossip would say of the others is copied once a
 * gossip period. Started and closed by one thread.
 */
final class HollowFleet implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration WATCH_INTERVAL = Duration.ofMillis(500);
  private static final int SNAPSHOT_EVERY = 100;
  private static final int SPARE_THREADS = 64;
  private static final int NO_ACCEPTORS = 0;
  private static final int ONE_SELECTOR = 1;

  private final int zones;
  private final JsonCodec codec = new JsonCodec();
  private final HttpClient jettyClient = new HttpClient();
  private final JsonHttpClient client = new JsonHttpClient(jettyClient, codec);
  private final Server server;
  private final Map<Integer, HttpRouter> routerOfPort = new ConcurrentHashMap<>();
  private final LongAdder bytes = new LongAdder();
  private final List<HollowNode> nodes = new ArrayList<>();
  private final PlatformStandIn platform;
  private volatile Map<NodeId, Member> gossiped = Map.of();

  HollowFleet(int size, int zones) throws Exception {
    this.zones = zones;
    platform = new PlatformStandIn(PlatformSettings.defaults()).start();
    server = new Server(new QueuedThreadPool(2 * size + SPARE_THREADS));
    server.setHandler(new ByPort());
    jettyClient.start();
    for (int index = 0; index < size; index++) {
      nodes.add(newNode(index));
    }
    server.start();
    for (HollowNode node : nodes) {
      node.listen();
      routerOfPort.put(node.connector().getLocalPort(), node.router());
    }
    gossip();
    nodes.forEach(HollowNode::start);
  }

  private HollowNode newNode(int index) {
    NetworkTrafficServerConnector connector =
        new NetworkTrafficServerConnector(
            server, null, null, null, NO_ACCEPTORS, ONE_SELECTOR, new HttpConnectionFactory());
    connector.setHost(HOST);
    connector.setNetworkTrafficListener(new ByteCounter());
    server.addConnector(connector);
    return new HollowNode("node-" + index, new ZoneName("zone-" + index % zones), connector, this);
  }

  /** All nodes that were not killed. */
  List<HollowNode> living() {
    return nodes.stream().filter(node -> !node.isDead()).toList();
  }

  /** Bytes over all connections between nodes so far, each counted once. */
  long bytes() {
    return bytes.sum();
  }

  /** Lets every node know what versions the others have now, as gossip does in a period or two. */
  void gossip() {
    Map<NodeId, Member> members = new HashMap<>();
    nodes.forEach(node -> members.put(node.id(), node.asMember()));
    gossiped = Map.copyOf(members);
  }

  /** The others as one node sees them. */
  ZoneNodes nodesSeenBy(LocalNode self) {
    return new ZoneNodes(
        self, () -> new MembershipView(self.node(), gossiped), () -> new MachineList(1, List.of()));
  }

  /** A node that knows of no other, so that nobody hears of what it commits. */
  ZoneNodes alone(LocalNode self) {
    return new ZoneNodes(
        self, () -> new MembershipView(self.node(), Map.of()), () -> new MachineList(1, List.of()));
  }

  ConfigurationOptions options() {
    return new ConfigurationOptions(WATCH_INTERVAL, CALL_TIMEOUT, SNAPSHOT_EVERY);
  }

  HttpTableService table() {
    return new HttpTableService(client, platform.address(), CALL_TIMEOUT);
  }

  HttpObjectStore objectStore() {
    return new HttpObjectStore(client, platform.address(), CALL_TIMEOUT);
  }

  JsonHttpClient client() {
    return client;
  }

  JsonCodec codec() {
    return codec;
  }

  @Override
  public void close() throws Exception {
    nodes.forEach(HollowNode::close);
    server.stop();
    jettyClient.stop();
    platform.close();
  }

  /** Hands a request to the router of the node whose port it came in on. */
  private final class ByPort extends Handler.Abstract {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      HttpRouter router = routerOfPort.get(Request.getLocalPort(request));
      return router != null && router.handle(request, response, callback);
    }
  }

  /** Counts what goes over the connections of a port. */
  private final class ByteCounter implements NetworkTrafficListener {
    @Override
    public void incoming(Socket socket, ByteBuffer content) {
      bytes.add(content.remaining());
    }

    @Override
    public void outgoing(Socket socket, ByteBuffer content) {
      bytes.add(content.remaining());
    }
  }
}
