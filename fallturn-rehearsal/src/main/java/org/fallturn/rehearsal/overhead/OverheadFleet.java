package org.fallturn.rehearsal.overhead;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.placement.EngineTarget;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.node.FallturnMain;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.table.HttpTableService;
import org.fallturn.rehearsal.StandInMain;
import org.fallturn.rehearsal.fleet.FleetConfiguration;
import org.fallturn.rehearsal.fleet.FleetMachines;
import org.fallturn.rehearsal.fleet.ManagedProcess;
import org.fallturn.rehearsal.platform.PlatformSettings;
import org.fallturn.rehearsal.platform.PlatformStandIn;

/**
 * One node process with a bounded heap, engine processes and the platform, joined directly, so that
 * nothing but the node stands between load and engines. Not thread-safe.
 */
final class OverheadFleet implements AutoCloseable {

  private static final Duration TABLE_TIMEOUT = Duration.ofSeconds(10);
  private static final List<String> NODE_JVM = List.of("-Xmx256m", "-XX:+UseG1GC");
  private static final List<String> ENGINE_JVM = List.of("-Xmx256m", "-XX:+UseSerialGC");
  private static final String LOOPBACK = "127.0.0.1";
  private static final String ANY = LOOPBACK + ":0";

  private final Path directory;
  private final PlatformStandIn platform = new PlatformStandIn(PlatformSettings.defaults());
  private final List<ManagedProcess> engines = new ArrayList<>();
  private final List<EngineTarget> targets = new ArrayList<>();
  private ManagedProcess node;

  OverheadFleet(Path directory) {
    this.directory = directory;
  }

  /** Starts everything; the first engine prefills, the others decode, and keep doing so. */
  void start(int decoders, HttpClient client, double timeScale) throws Exception {
    Files.createDirectories(directory);
    platform.start();
    JsonCodec codec = new JsonCodec();
    JsonHttpClient json = new JsonHttpClient(client, codec);
    new HttpTableService(json, platform.address(), TABLE_TIMEOUT)
        .transact(FleetConfiguration.firstChange(codec, 1, decoders));
    startEngine("PREFILL", timeScale);
    for (int index = 0; index < decoders; index++) {
      startEngine("DECODE", timeScale);
    }
    List<Machine> machines = new ArrayList<>();
    for (int index = 0; index < engines.size(); index++) {
      NetworkAddress address = engines.get(index).address();
      targets.add(new EngineTarget(new EngineId(engineId(index)), address));
      machines.add(FleetMachines.engine(engineId(index), address));
    }
    platform.setMachines(machines);
    startNode();
  }

  private static String engineId(int index) {
    return "engine-" + (index + 1);
  }

  private void startEngine(String role, double timeScale) throws IOException {
    String id = engineId(engines.size());
    List<String> arguments =
        List.of(
            "engine",
            "--id",
            id,
            "--role",
            role,
            "--model",
            FleetConfiguration.MODEL,
            "--platform",
            platform.address().toString(),
            "--time-scale",
            String.format(Locale.ROOT, "%f", timeScale));
    engines.add(ManagedProcess.start(id, directory, ENGINE_JVM, StandInMain.class, arguments));
  }

  private void startNode() throws IOException {
    String store = platform.address().toString();
    List<String> arguments = new ArrayList<>(List.of("node", "--node.id", "node-1"));
    for (String port : List.of("callers", "operators", "peers", "gossip")) {
      arguments.addAll(List.of("--" + port + ".listen", ANY));
    }
    for (String service : List.of("table", "object_store", "machines")) {
      arguments.addAll(List.of("--platform." + service, store));
    }
    node = ManagedProcess.start("node-1", directory, NODE_JVM, FallturnMain.class, arguments);
    node.address("callers");
  }

  ManagedProcess node() {
    return node;
  }

  /** The engine that prefills. */
  EngineTarget prefill() {
    return targets.get(0);
  }

  /** The engines that decode. */
  List<EngineTarget> decoders() {
    return targets.subList(1, targets.size());
  }

  @Override
  public void close() throws Exception {
    if (node != null) {
      node.close();
    }
    engines.forEach(ManagedProcess::close);
    platform.close();
  }
}
