package org.fallturn.rehearsal.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.fallturn.core.configuration.HeadWatchers;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.node.gossip.GossipTraffic;
import org.fallturn.node.server.ControlParts;
import org.fallturn.node.server.NodeServer;
import org.fallturn.node.settings.NodeSettings;
import org.fallturn.node.settings.SettingsException;
import org.fallturn.rehearsal.scale.HollowMessages.GossipSample;
import org.fallturn.rehearsal.scale.HollowMessages.NodeSample;

/** A whole node without callers, in a process shared with others. */
final class HollowNode {

  private static final String ANY_PORT = "127.0.0.1:0";
  private static final String ENGINE_PREFIX = "127.77.";

  private final String name;
  private final RegionName region;
  private final ZoneName zone;
  private final NetworkAddress platform;
  private final ThreadGroupCpu cpu;
  private final NodeServer server;

  private HollowNode(String name, HollowMessages.Start start, Supplier<Set<NetworkAddress>> blocked)
      throws Exception {
    this.name = name;
    this.region = new RegionName(start.region());
    this.zone = new ZoneName(start.zone());
    this.platform = start.platform();
    this.cpu = new ThreadGroupCpu(name);
    NodeSettings settings = settings(name, start);
    this.server = cpu.call(() -> startServer(settings, blocked));
  }

  /** Starts a node; returns once it listens. */
  static HollowNode start(
      String name, HollowMessages.Start start, Supplier<Set<NetworkAddress>> blocked)
      throws Exception {
    return new HollowNode(name, start, blocked);
  }

  private static NodeServer startServer(
      NodeSettings settings, Supplier<Set<NetworkAddress>> blocked) throws Exception {
    NodeServer node = new NodeServer(settings, FilteredTransport.blocking(blocked));
    node.start();
    return node;
  }

  private static NodeSettings settings(String name, HollowMessages.Start start)
      throws SettingsException {
    Map<String, String> flags = new LinkedHashMap<>();
    flags.put("node.id", name);
    flags.put("node.region", start.region());
    flags.put("node.zone", start.zone());
    flags.put("placement.report_interval", start.reportInterval());
    flags.put("node.cluster_key", ScaleFleet.CLUSTER_KEY);
    for (String port : List.of("callers", "operators", "peers", "gossip")) {
      flags.put(port + ".listen", ANY_PORT);
    }
    for (String service : List.of("table", "object_store", "machines")) {
      flags.put("platform." + service, start.platform().toString());
    }
    return NodeSettings.from(NodeSettings.reader().flags(flags).values());
  }

  String name() {
    return name;
  }

  ControlParts parts() {
    return server.controlParts();
  }

  /** Stops it as planned. */
  void stop() throws InterruptedException {
    server.stopAsPlanned();
  }

  /** Its entry in the machine list. */
  Machine machine() {
    return new Machine(
        name,
        Machine.Kind.NODE,
        region,
        zone,
        server.peersAddress(),
        Optional.of(parts().gossip().address()),
        Optional.empty(),
        Optional.empty(),
        Machine.State.LIVE);
  }

  /** Pools it has the right to order now. */
  List<String> poolsLed() {
    long now = System.nanoTime();
    return parts().leases().authorities().entrySet().stream()
        .filter(entry -> entry.getValue().permits(now))
        .map(Map.Entry::getKey)
        .map(PoolId::toString)
        .toList();
  }

  NodeSample sample() {
    ControlParts parts = parts();
    Predicate<NetworkAddress> toPlatform = platform::equals;
    Predicate<NetworkAddress> toEngines = address -> address.host().startsWith(ENGINE_PREFIX);
    MembershipView view = parts.gossip().view();
    return new NodeSample(
        name,
        zone.value(),
        parts.gossip().isBridge(),
        isWatcher(view),
        poolsLed().size(),
        parts.configuration().version(),
        view.members().size(),
        cpu.threads(),
        gossip(parts.gossip().traffic()),
        parts.peerTraffic().totals(address -> true),
        parts.clientTraffic().totals(toPlatform),
        parts.clientTraffic().totals(toEngines),
        parts.clientTraffic().totals(toPlatform.or(toEngines).negate()),
        cpu.cpuNanosByDuty());
  }

  private boolean isWatcher(MembershipView view) {
    List<NodeId> zoneNodes =
        view.members().values().stream()
            .filter(member -> member.zone().equals(zone))
            .filter(member -> member.state() == Member.State.ALIVE)
            .map(Member::node)
            .toList();
    return HeadWatchers.of(zoneNodes).contains(new NodeId(name));
  }

  private static GossipSample gossip(GossipTraffic traffic) {
    return new GossipSample(
        traffic.sent().bytesSent(),
        traffic.bytesReceived(),
        traffic.sent().messagesSent(),
        traffic.messagesReceived(),
        traffic.sent().messagesOverBudget(),
        traffic.sent().suspicions(),
        traffic.sent().deaths(),
        traffic.sent().refutations());
  }
}
