package org.fallturn.rehearsal.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.lease.LeaseRecord;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.node.FallturnMain;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.http.RemoteCallException;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;
import org.fallturn.node.table.HttpTableService;
import org.fallturn.rehearsal.RehearsalMain;
import org.fallturn.rehearsal.fleet.ManagedProcess;
import org.fallturn.rehearsal.platform.PlatformSettings;
import org.fallturn.rehearsal.platform.PlatformStandIn;

/**
 * A fleet of hollow nodes in racks, each rack a process, with hollow engines and the platform in
 * this process, beside a few real node processes and real engine stand-ins. Several threads may
 * add, list and ask at once.
 */
final class ScaleFleet implements AutoCloseable {

  static final String CLUSTER_KEY = "rehearsal-cluster-key";

  private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(150);
  private static final String REAL_NODE = "real-node-";
  private static final String LEASE_TABLE = "lease";
  private static final int MAX_LEASE_ROWS = 10_000;
  private static final long NODES_ALONE_SECONDS = 10;
  private static final int RACKS_AT_ONCE = 18;
  private static final List<String> RACK_JVM =
      List.of(
          "-Xmx640m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

  private final ScalePlan plan;
  private final Path logs;
  private final JsonCodec codec = new JsonCodec();
  private final HttpClient jetty = new HttpClient();
  private final JsonHttpClient client = new JsonHttpClient(jetty, codec);
  private final PlatformStandIn platform = new PlatformStandIn(PlatformSettings.defaults());
  private final HollowEngines engines;
  private final List<Rack> racks = new ArrayList<>();
  private final List<ManagedProcess> realProcesses = new ArrayList<>();
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** A process of hollow nodes. */
  record Rack(
      String name, String region, String zone, ManagedProcess process, List<String> nodes) {}

  private ScaleFleet(ScalePlan plan, Path logs) throws Exception {
    this.plan = plan;
    this.logs = logs;
    this.engines = new HollowEngines();
  }

  /** Starts everything; returns once every process listens and the platform lists it. */
  static ScaleFleet start(ScalePlan plan, Path logs) throws Exception {
    Files.createDirectories(logs);
    ScaleFleet fleet = new ScaleFleet(plan, logs);
    try {
      fleet.startAll();
      return fleet;
    } catch (Exception e) {
      fleet.close();
      throw e;
    }
  }

  private void startAll() throws Exception {
    jetty.setIdleTimeout(COMMAND_TIMEOUT.toMillis());
    jetty.start();
    platform.start();
    HttpTableService table =
        new HttpTableService(client, platform.address(), Duration.ofSeconds(20));
    ScaleConfiguration.write(table, codec);
    startRealEngines();
    startRacks();
    startRealNodes();
    platform.setMachines(nodesOnly());
    TimeUnit.SECONDS.sleep(NODES_ALONE_SECONDS);
    addHollowEngines();
    platform.setMachines(List.copyOf(machines.values()));
  }

  /** The nodes find each other before the long list with the engines comes. */
  private List<Machine> nodesOnly() {
    return machines.values().stream()
        .filter(machine -> machine.kind() == Machine.Kind.NODE)
        .toList();
  }

  private void addHollowEngines() {
    for (int index = 0; index < plan.engines(); index++) {
      String id = "engine-" + index;
      ModelName model = ScaleConfiguration.model(index / plan.zones() % ScaleConfiguration.MODELS);
      EngineRole role = index % 3 == 0 ? EngineRole.PREFILL : EngineRole.DECODE;
      int zone = index % plan.zones();
      machines.put(id, engine(id, zone, model, engines.add(id, model, role)));
    }
  }

  private void startRealEngines() throws IOException {
    for (int index = 0; index < plan.realEngines(); index++) {
      String id = "real-engine-" + index;
      ModelName model = ScaleConfiguration.model(0);
      String role = index % 2 == 0 ? "PREFILL" : "DECODE";
      List<String> arguments =
          List.of(
              "engine",
              "--id",
              id,
              "--role",
              role,
              "--model",
              model.value(),
              "--platform",
              platform.address().toString());
      ManagedProcess process = ManagedProcess.start(id, logs, RehearsalMain.class, arguments);
      realProcesses.add(process);
      machines.put(id, engine(id, 0, model, process.address()));
    }
  }

  private Machine engine(String id, int zone, ModelName model, NetworkAddress address) {
    return new Machine(
        id,
        Machine.Kind.ENGINE,
        new RegionName(plan.region(zone)),
        new ZoneName(plan.zone(zone)),
        address,
        Optional.empty(),
        Optional.of(model),
        Optional.empty(),
        Machine.State.LIVE);
  }

  private void startRacks() throws Exception {
    List<CompletableFuture<List<Machine>>> starting = new ArrayList<>();
    for (int zone = 0; zone < plan.zones(); zone++) {
      for (List<String> nodes : plan.racksOf(zone)) {
        String name = "rack-" + racks.size();
        ManagedProcess process =
            ManagedProcess.start(
                name, logs, RACK_JVM, RehearsalMain.class, List.of("hollow-nodes"));
        Rack rack = new Rack(name, plan.region(zone), plan.zone(zone), process, nodes);
        racks.add(rack);
      }
    }
    ExecutorService starters = Executors.newFixedThreadPool(RACKS_AT_ONCE);
    for (Rack rack : racks) {
      starting.add(CompletableFuture.supplyAsync(() -> startRack(rack), starters));
    }
    for (CompletableFuture<List<Machine>> started : starting) {
      started.join().forEach(machine -> machines.put(machine.id(), machine));
    }
    starters.shutdown();
  }

  private List<Machine> startRack(Rack rack) {
    List<Machine> started = new ArrayList<>();
    for (String node : rack.nodes()) {
      try {
        started.addAll(startNode(rack, node).machines());
      } catch (IOException | RemoteCallException e) {
        throw new CompletionException(rack.name() + " could not start " + node, e);
      }
    }
    return started;
  }

  private HollowMessages.Started startNode(Rack rack, String node)
      throws IOException, RemoteCallException {
    HollowMessages.Start start =
        new HollowMessages.Start(
            List.of(node), rack.region(), rack.zone(), platform.address(), plan.reportInterval());
    return ask(rack, "/start", start, HollowMessages.Started.class);
  }

  private void startRealNodes() throws IOException {
    List<ManagedProcess> started = new ArrayList<>();
    for (int index = 0; index < plan.realNodes(); index++) {
      started.add(startRealNode(index));
    }
    for (int index = 0; index < plan.realNodes(); index++) {
      String id = REAL_NODE + index;
      ManagedProcess process = started.get(index);
      machines.put(id, realNode(id, index % plan.zones(), process));
    }
  }

  private ManagedProcess startRealNode(int index) throws IOException {
    int zone = index % plan.zones();
    List<String> arguments = new ArrayList<>();
    arguments.add("node");
    Map<String, String> settings = new LinkedHashMap<>();
    settings.put("node.id", REAL_NODE + index);
    settings.put("node.region", plan.region(zone));
    settings.put("node.zone", plan.zone(zone));
    settings.put("node.cluster_key", CLUSTER_KEY);
    List.of("callers", "operators", "peers", "gossip")
        .forEach(port -> settings.put(port + ".listen", "127.0.0.1:0"));
    List.of("table", "object_store", "machines")
        .forEach(port -> settings.put("platform." + port, platform.address().toString()));
    settings.forEach(
        (key, value) -> {
          arguments.add("--" + key);
          arguments.add(value);
        });
    ManagedProcess process =
        ManagedProcess.start(REAL_NODE + index, logs, FallturnMain.class, arguments);
    realProcesses.add(process);
    return process;
  }

  private Machine realNode(String id, int zone, ManagedProcess process) throws IOException {
    return new Machine(
        id,
        Machine.Kind.NODE,
        new RegionName(plan.region(zone)),
        new ZoneName(plan.zone(zone)),
        process.address("peers"),
        Optional.of(process.address("gossip")),
        Optional.empty(),
        Optional.empty(),
        Machine.State.LIVE);
  }

  PlatformStandIn platform() {
    return platform;
  }

  HollowEngines engines() {
    return engines;
  }

  List<Rack> racks() {
    return List.copyOf(racks);
  }

  /** Pools whose lease names a node process as its holder. */
  Map<String, String> poolsOfRealNodes() throws MalformedMessageException {
    Map<String, String> pools = new LinkedHashMap<>();
    for (TableRow row : platform.table().scan(new ScanRequest(LEASE_TABLE, "", MAX_LEASE_ROWS))) {
      LeaseRecord lease = codec.decode(row.value(), LeaseRecord.class);
      lease
          .holder()
          .map(NodeId::value)
          .filter(holder -> holder.startsWith(REAL_NODE))
          .ifPresent(holder -> pools.put(lease.pool().toString(), holder));
    }
    return pools;
  }

  /** Addresses where the nodes of a region gossip. */
  List<NetworkAddress> gossipAddresses(String region) {
    return machines.values().stream()
        .filter(machine -> machine.region().value().equals(region))
        .flatMap(machine -> machine.gossipAddress().stream())
        .toList();
  }

  /** Ends a rack as a power cut would; the platform's list still names it. */
  void kill(Rack rack) throws InterruptedException {
    rack.process().kill();
    racks.remove(rack);
  }

  /** Takes a rack's nodes off the platform's list. */
  synchronized void unlist(Rack rack) {
    rack.nodes().forEach(machines::remove);
    platform.setMachines(List.copyOf(machines.values()));
  }

  /** Starts one more node in a rack and lists it. */
  void add(Rack rack, String node) throws Exception {
    list(startNode(rack, node).machines());
  }

  private synchronized void list(List<Machine> started) {
    started.forEach(machine -> machines.put(machine.id(), machine));
    platform.setMachines(List.copyOf(machines.values()));
  }

  /** Takes a node off the list. */
  synchronized void unlist(String node) {
    machines.remove(node);
    platform.setMachines(List.copyOf(machines.values()));
  }

  /** Asks a rack. */
  <A> A ask(Rack rack, String path, Object question, Class<A> type)
      throws IOException, RemoteCallException {
    return JsonHttpClient.await(
        client.post(rack.process().address(), path, question, type, COMMAND_TIMEOUT));
  }

  /** Asks every rack at once. */
  <A> Map<Rack, A> askAll(String path, Object question, Class<A> type)
      throws IOException, RemoteCallException {
    Map<Rack, CompletableFuture<A>> asked = new LinkedHashMap<>();
    for (Rack rack : racks) {
      asked.put(rack, client.post(rack.process().address(), path, question, type, COMMAND_TIMEOUT));
    }
    Map<Rack, A> answers = new LinkedHashMap<>();
    for (Map.Entry<Rack, CompletableFuture<A>> entry : asked.entrySet()) {
      answers.put(entry.getKey(), JsonHttpClient.await(entry.getValue()));
    }
    return answers;
  }

  @Override
  public void close() throws Exception {
    racks.forEach(rack -> rack.process().close());
    realProcesses.forEach(ManagedProcess::close);
    engines.close();
    platform.close();
    jetty.stop();
  }
}
