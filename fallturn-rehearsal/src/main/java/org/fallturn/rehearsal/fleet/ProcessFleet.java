package org.fallturn.rehearsal.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.FallturnMain;
import org.fallturn.rehearsal.StandInMain;
import org.fallturn.rehearsal.faults.FaultProxy;
import org.fallturn.rehearsal.faults.LinkFaults;

/**
 * Platform, engines, applications and nodes, each a process of its own, joined through the
 * fault-injecting proxy of this process. Each node has its own loopback address, which it also
 * calls from, so that links can tell the nodes apart. Not thread-safe.
 */
public final class ProcessFleet implements AutoCloseable {

  private static final String ANY_PORT = "127.0.0.1:0";
  private static final NetworkAddress ANY = NetworkAddress.parse(ANY_PORT);
  private static final NetworkAddress NOWHERE = NetworkAddress.parse("127.0.0.1:1");

  private final FleetPlan plan;
  private final Path directory;
  private final FaultProxy proxy;
  private final Map<String, ManagedProcess> engines = new LinkedHashMap<>();
  private final Map<String, ManagedProcess> applications = new LinkedHashMap<>();
  private final Map<String, FleetNode> nodes = new LinkedHashMap<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Map<String, String> engineRoles = new LinkedHashMap<>();
  private ManagedProcess platform;
  private FleetControl control;
  private int nodesStarted;
  private int enginesStarted;

  private ProcessFleet(FleetPlan plan, Path directory, long seed) {
    this.plan = plan;
    this.directory = directory;
    this.proxy = new FaultProxy(seed);
  }

  /**
   * Starts everything; returns once every process listens.
   *
   * @param directory where the log files go
   * @param seed drives the random faults of links
   */
  public static ProcessFleet start(FleetPlan plan, Path directory, long seed) throws Exception {
    Files.createDirectories(directory);
    ProcessFleet fleet = new ProcessFleet(plan, directory, seed);
    try {
      fleet.startAll();
      return fleet;
    } catch (Exception e) {
      fleet.close();
      throw e;
    }
  }

  private void startAll() throws Exception {
    platform =
        rehearsal(
            "platform",
            List.of(
                "platform",
                "--listen",
                ANY_PORT,
                "--machine-lag-millis",
                Long.toString(plan.machineLagMillis())));
    control = new FleetControl(platform.address());
    FleetConfiguration.write(control.table(), control.codec());
    for (int index = 0; index < plan.prefillEngines(); index++) {
      launchEngine("PREFILL");
    }
    for (int index = 0; index < plan.decodeEngines(); index++) {
      launchEngine("DECODE");
    }
    for (int index = 1; index <= plan.applications(); index++) {
      String id = "application-" + index;
      applications.put(id, rehearsal(id, List.of("application", "--id", id)));
    }
    for (String id : engines.keySet()) {
      registerEngine(id);
    }
    for (String id : applications.keySet()) {
      registerApplication(id);
    }
    List<String> started = new ArrayList<>();
    for (int index = 0; index < plan.nodes(); index++) {
      started.add(launchNode());
    }
    for (String id : started) {
      registerNode(id);
    }
    control.machines(new MachineList(0, List.copyOf(machines.values())));
  }

  private ManagedProcess rehearsal(String name, List<String> arguments) throws IOException {
    return ManagedProcess.start(name, directory, StandInMain.class, arguments);
  }

  private String launchEngine(String role) throws IOException {
    enginesStarted++;
    String id = "engine-" + enginesStarted;
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "engine",
                "--id",
                id,
                "--role",
                role,
                "--model",
                FleetConfiguration.MODEL,
                "--platform",
                platform.address().toString()));
    arguments.addAll(plan.engineArguments());
    engines.put(id, rehearsal(id, arguments));
    engineRoles.put(id, role);
    return id;
  }

  private void registerEngine(String id) throws IOException {
    NetworkAddress link = proxy.openTcp(id, ANY, engines.get(id).address());
    machines.put(id, FleetMachines.engine(id, link));
  }

  private void registerApplication(String id) throws IOException {
    NetworkAddress link = proxy.openTcp(id, ANY, applications.get(id).address());
    for (String service :
        List.of(FleetConfiguration.REPEATABLE_SERVICE, FleetConfiguration.ONCE_SERVICE)) {
      String machine = id + "-" + service;
      machines.put(machine, FleetMachines.application(machine, service, link));
    }
  }

  private String launchNode() throws IOException {
    nodesStarted++;
    String id = "node-" + nodesStarted;
    String host = "127.0.1." + nodesStarted;
    String listen = host + ":0";
    String store = proxy.openTcp(platformLink(id), ANY, platform.address()).toString();
    String peers = proxy.openTcp(peersLink(id), ANY, NOWHERE).toString();
    String gossip = proxy.openUdp(gossipLink(id), ANY, NOWHERE).toString();
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "node",
                "--node.id",
                id,
                "--node.outgoing_host",
                host,
                "--node.advertised_host",
                host,
                "--node.stop_timeout",
                "60s",
                "--callers.listen",
                listen,
                "--operators.listen",
                listen,
                "--peers.listen",
                listen,
                "--peers.advertised",
                peers,
                "--gossip.listen",
                listen,
                "--gossip.advertised",
                gossip,
                "--platform.table",
                store,
                "--platform.object_store",
                store,
                "--platform.machines",
                store));
    arguments.addAll(plan.nodeArguments());
    ManagedProcess process = ManagedProcess.start(id, directory, FallturnMain.class, arguments);
    nodes.put(id, new FleetNode(id, host, process));
    machines.put(
        id, FleetMachines.node(id, NetworkAddress.parse(peers), NetworkAddress.parse(gossip)));
    return id;
  }

  private void registerNode(String id) throws IOException {
    FleetNode node = nodes.get(id);
    proxy.retarget(peersLink(id), node.process().address("peers"));
    proxy.retarget(gossipLink(id), node.process().address("gossip"));
  }

  /** Starts one more node. */
  public FleetNode addNode() throws Exception {
    String id = launchNode();
    registerNode(id);
    control.machine(machines.get(id));
    return nodes.get(id);
  }

  /** Starts one more engine. */
  public ManagedProcess addEngine(String role) throws Exception {
    String id = launchEngine(role);
    registerEngine(id);
    control.machine(machines.get(id));
    return engines.get(id);
  }

  /** The platform tells everybody that a machine is leaving. */
  public void announceLeaving(String machine) throws Exception {
    control.machine(FleetMachines.leaving(machines.get(machine)));
  }

  /** The platform has taken a machine away; its links close. */
  public void remove(String machine) throws Exception {
    machines.remove(machine);
    nodes.remove(machine);
    engines.remove(machine);
    proxy.closeLink(machine);
    proxy.closeLink(peersLink(machine));
    proxy.closeLink(gossipLink(machine));
    proxy.closeLink(platformLink(machine));
    control.machines(new MachineList(0, List.copyOf(machines.values())));
  }

  /** Cuts a node off from all other nodes and from the platform, silently, in both directions. */
  public void isolate(String node) {
    isolateFromPeers(node);
    proxy.set(platformLink(node), LinkFaults.SILENT);
  }

  /** Cuts a node off from all other nodes, silently, in both directions. */
  public void isolateFromPeers(String node) {
    String host = nodes.get(node).host();
    proxy.set(peersLink(node), LinkFaults.SILENT);
    proxy.set(gossipLink(node), LinkFaults.SILENT);
    for (String other : nodes.keySet()) {
      if (!other.equals(node)) {
        proxy.set(peersLink(other), host, LinkFaults.SILENT);
        proxy.set(gossipLink(other), host, LinkFaults.SILENT);
      }
    }
  }

  /** Name of the link from a node to the platform. */
  public static String platformLink(String node) {
    return "platform/" + node;
  }

  /** Name of the link to a node's peer port. */
  public static String peersLink(String node) {
    return "peers/" + node;
  }

  /** Name of the link to a node's gossip port. */
  public static String gossipLink(String node) {
    return "gossip/" + node;
  }

  /** The proxy; links of engines and applications have their ids as names. */
  public FaultProxy proxy() {
    return proxy;
  }

  /** The control paths of the stand-ins. */
  public FleetControl control() {
    return control;
  }

  /** Every node that was not removed, by id. */
  public Map<String, FleetNode> nodes() {
    return nodes;
  }

  /** A node by id. */
  public FleetNode node(String id) {
    return nodes.get(id);
  }

  /** Every engine that was not removed, by id. */
  public Map<String, ManagedProcess> engines() {
    return engines;
  }

  /** The role an engine was started in. */
  public String engineRole(String id) {
    return engineRoles.get(id);
  }

  /** Every application, by id. */
  public Map<String, ManagedProcess> applications() {
    return applications;
  }

  /** Where the log files are. */
  public Path directory() {
    return directory;
  }

  @Override
  public void close() throws Exception {
    nodes.values().forEach(node -> node.process().close());
    engines.values().forEach(ManagedProcess::close);
    applications.values().forEach(ManagedProcess::close);
    if (platform != null) {
      platform.close();
    }
    if (control != null) {
      control.close();
    }
    proxy.close();
  }
}
