package org.fallturn.rehearsal.quickstart;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.server.NodeServer;
import org.fallturn.node.settings.NodeSettings;
import org.fallturn.rehearsal.application.ApplicationSettings;
import org.fallturn.rehearsal.application.ApplicationStandIn;
import org.fallturn.rehearsal.engine.EngineSettings;
import org.fallturn.rehearsal.engine.EngineStandIn;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetMachines;
import org.fallturn.rehearsal.platform.PlatformSettings;
import org.fallturn.rehearsal.platform.PlatformStandIn;

/**
 * Platform stand-in, four engines, two application back ends and three nodes in one process, joined
 * by real sockets on the loopback device. Not thread-safe.
 */
public final class LocalFleet implements AutoCloseable {

  private static final int ENGINES = 4;
  private static final int PREFILL_ENGINES = 2;
  private static final int APPLICATIONS = 2;
  private static final int NODES = 3;
  private static final String ANY_PORT = "127.0.0.1:0";

  private final Deque<AutoCloseable> started = new ArrayDeque<>();
  private final List<Machine> machines = new ArrayList<>();
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final List<ApplicationStandIn> applications = new ArrayList<>();
  private final List<NodeServer> nodes = new ArrayList<>();
  private PlatformStandIn platform;

  private LocalFleet() {}

  /** Starts everything; returns once every port is bound. */
  public static LocalFleet start() throws Exception {
    LocalFleet fleet = new LocalFleet();
    try {
      fleet.startAll();
      return fleet;
    } catch (Exception e) {
      fleet.close();
      throw e;
    }
  }

  private void startAll() throws Exception {
    platform = keep(new PlatformStandIn(PlatformSettings.defaults()).start());
    platform.table().transact(FleetConfiguration.firstChange(new JsonCodec()));
    for (int index = 1; index <= ENGINES; index++) {
      startEngine(index);
    }
    for (int index = 1; index <= APPLICATIONS; index++) {
      startApplication("application-" + index);
    }
    platform.setMachines(machines);
    for (int index = 1; index <= NODES; index++) {
      startNode("node-" + index);
    }
    platform.setMachines(machines);
  }

  private void startEngine(int index) throws Exception {
    String id = "engine-" + index;
    EngineRole role = index <= PREFILL_ENGINES ? EngineRole.PREFILL : EngineRole.DECODE;
    EngineSettings settings =
        EngineSettings.defaults(id, role, FleetConfiguration.MODEL)
            .withPlatform(platform.address());
    EngineStandIn engine = keep(new EngineStandIn(settings).start());
    engines.add(engine);
    machines.add(FleetMachines.engine(id, engine.address()));
  }

  private void startApplication(String id) throws Exception {
    ApplicationStandIn application =
        keep(new ApplicationStandIn(ApplicationSettings.defaults(id)).start());
    applications.add(application);
    for (String service :
        List.of(FleetConfiguration.REPEATABLE_SERVICE, FleetConfiguration.ONCE_SERVICE)) {
      machines.add(FleetMachines.application(id + "-" + service, service, application.address()));
    }
  }

  private void startNode(String id) throws Exception {
    Map<String, String> flags = new LinkedHashMap<>();
    flags.put("node.id", id);
    for (String port : List.of("callers", "operators", "peers", "gossip")) {
      flags.put(port + ".listen", ANY_PORT);
    }
    for (String service : List.of("table", "object_store", "machines")) {
      flags.put("platform." + service, platform.address().toString());
    }
    flags.put("platform.machines_interval", "200ms");
    NodeSettings settings = NodeSettings.from(NodeSettings.reader().flags(flags).values());
    NodeServer node = keep(new NodeServer(settings));
    node.start();
    nodes.add(node);
    machines.add(FleetMachines.node(id, node.peersAddress(), node.addresses().get("gossip")));
  }

  private <T extends AutoCloseable> T keep(T part) {
    started.push(part);
    return part;
  }

  /** Where callers connect, a node each. */
  public List<NetworkAddress> callers() {
    return nodes.stream().map(NodeServer::callersAddress).toList();
  }

  /** The nodes. */
  public List<NodeServer> nodes() {
    return nodes;
  }

  /** Every engine. */
  public List<EngineStandIn> engines() {
    return engines;
  }

  /** Every application back end. */
  public List<ApplicationStandIn> applications() {
    return applications;
  }

  /** Where the platform listens. */
  public NetworkAddress platform() {
    return platform.address();
  }

  @Override
  public void close() throws Exception {
    while (!started.isEmpty()) {
      started.pop().close();
    }
  }
}
