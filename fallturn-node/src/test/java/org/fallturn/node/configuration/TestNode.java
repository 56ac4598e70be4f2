package org.fallturn.node.configuration;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;

/** A node that has nothing but its configuration, in a fleet whose membership the test sets. */
public final class TestNode implements AutoCloseable {

  private final Map<NodeId, TestNode> fleet;
  private final HttpClient jettyClient = new HttpClient();
  private final JsonCodec codec = new JsonCodec();
  private final JsonHttpClient client = new JsonHttpClient(jettyClient, codec);
  private final HttpRouter router = new HttpRouter(codec);
  private final HttpListener listener;
  private final LocalNode self;
  private final ZoneNodes nodes;
  private final ConfigurationModule module;
  private volatile boolean cutOff;
  private volatile MachineList machines = new MachineList(1, List.of());

  /** Joins a fleet. */
  public TestNode(String name, String zone, Map<NodeId, TestNode> fleet, InMemoryTable table)
      throws Exception {
    this.fleet = fleet;
    listener = new HttpListener(name, new NetworkAddress("127.0.0.1", 0), 8, router);
    jettyClient.start();
    self = new LocalNode(new NodeId(name), new ZoneName(zone), listener.address());
    ConfigurationOptions options =
        new ConfigurationOptions(Duration.ofMillis(50), Duration.ofSeconds(2), 3);
    nodes = new ZoneNodes(self, this::view, () -> machines);
    module = new ConfigurationModule(options, nodes, table, table, client, codec);
    module.addRoutes(router);
    fleet.put(self.node(), this);
  }

  /** A fleet without nodes. */
  public static Map<NodeId, TestNode> fleet() {
    return new ConcurrentHashMap<>();
  }

  /** The configuration of this node. */
  public ConfigurationModule module() {
    return module;
  }

  /** The routes for its peers. */
  public HttpRouter peerRouter() {
    return router;
  }

  /** The other nodes as it sees them. */
  public ZoneNodes nodes() {
    return nodes;
  }

  /** The client of this node. */
  public JsonHttpClient client() {
    return client;
  }

  /** Its codec. */
  public JsonCodec codec() {
    return codec;
  }

  /** The machine list as this node reads it. */
  public void setMachines(MachineList list) {
    machines = list;
  }

  /** Takes the node out of everybody's view, and everybody out of its own. */
  public void setCutOff(boolean isCutOff) {
    cutOff = isCutOff;
  }

  /** The fleet as this node's gossip would show it. */
  public MembershipView view() {
    Map<NodeId, Member> members = new HashMap<>();
    for (TestNode other : fleet.values()) {
      if (other == this || !(cutOff || other.cutOff)) {
        members.put(other.self.node(), other.asMember());
      }
    }
    return new MembershipView(self.node(), members);
  }

  /** Makes it deaf to its peers, as when its process is gone. */
  public void closeListener() throws Exception {
    listener.close();
  }

  private Member asMember() {
    return new Member(
        self.node(),
        new RegionName("alava"),
        self.zone(),
        self.peerAddress(),
        self.peerAddress(),
        1,
        Member.State.ALIVE,
        module == null ? 0 : module.version());
  }

  @Override
  public void close() throws Exception {
    fleet.remove(self.node());
    module.close();
    listener.close();
    jettyClient.stop();
  }
}
