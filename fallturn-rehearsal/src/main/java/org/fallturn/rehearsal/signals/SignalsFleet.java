package org.fallturn.rehearsal.signals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.platform.PlatformMain;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;
import org.fallturn.rehearsal.emulator.EngineProcessMain;
import org.fallturn.rehearsal.emulator.ModelProcessMain;
import org.fallturn.rehearsal.emulator.OnDisconnect;
import org.fallturn.rehearsal.emulator.PeerLink;
import org.fallturn.rehearsal.emulator.RouteText;
import org.fallturn.rehearsal.fleet.ManagedProcess;
import org.fallturn.rehearsal.soak.SoakGatewayMain;

/**
 * Gateways, application back ends (two of which turn most requests away) and model engines as
 * processes, beside a store in this process. The first gateway reaches the engines by links of its
 * own, the memory of the last one can be used up. One thread calls.
 */
final class SignalsFleet implements AutoCloseable {

  /** From a planned stop to the end of a gateway, at the latest; shorter than some runs last. */
  static final Duration GRACE = Duration.ofSeconds(5);

  private static final String HOSTS = "127.0.0.";
  private static final int FIRST_HOST = 12;

  /** Short, so that gateways soon give up an engine that is slow. */
  private static final Duration TARGET = Duration.ofMillis(100);

  /** Connections to one engine; few, so that a request often meets one that it came by before. */
  private static final int MAX_CONNECTIONS = 8;

  private static final List<OnDisconnect> APPLICATIONS =
      List.of(
          OnDisconnect.CANCEL,
          OnDisconnect.CANCEL_AT_RESET,
          OnDisconnect.CANCEL,
          OnDisconnect.CANCEL_AT_RESET);

  /** Path of requests to back ends that turn most requests away. */
  static final String BUSY = "/busy/x";

  /** As {@link #BUSY}, of requests that may run once. */
  static final String BUSY_ONCE = "/busy-once/x";

  private static final String BUSY_SERVICE = "busy";
  private static final int BUSY_ENGINES = 2;
  private static final int BUSY_TIMEOUT_MILLIS = 4_000;

  /** Host from which the first gateway's links reach the engines. */
  static final String LINKED_HOST = HOSTS + (FIRST_HOST - 1);

  private final Path directory;
  private final EmulatedPlatform platform = new EmulatedPlatform();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Engine> ended = new ArrayList<>();
  private final List<ManagedProcess> gateways = new ArrayList<>();
  private final List<NetworkAddress> callers = new ArrayList<>();
  private final int peerPort = PeerLink.freePort();
  private int enginesStarted;

  /** What an engine serves. */
  private enum Kind {
    APPLICATION("a-", EngineProcessMain.class, ""),
    MODEL("m-", ModelProcessMain.class, "decode"),
    PREFILL("p-", ModelProcessMain.class, "prefill"),
    BUSY("b-", EngineProcessMain.class, EngineProcessMain.BUSY);

    private final String idPrefix;
    private final Class<?> program;

    /** Its stage, or how it answers. */
    private final String part;

    Kind(String idPrefix, Class<?> program, String part) {
      this.idPrefix = idPrefix;
      this.program = program;
      this.part = part;
    }

    private void list(EmulatedPlatform platform, String id, NetworkAddress address) {
      switch (this) {
        case APPLICATION -> platform.listApplication(id, address);
        case BUSY -> platform.listApplication(id, BUSY_SERVICE, address);
        default -> platform.listModel(id, address, part);
      }
    }
  }

  /** One engine's process and when it was killed. */
  static final class Engine {

    private final Kind kind;
    private final OnDisconnect onDisconnect;
    private final String id;
    private final ManagedProcess process;
    private final NetworkAddress address;
    private volatile long killedNanos = Long.MAX_VALUE;

    private Engine(Kind kind, OnDisconnect onDisconnect, String id, ManagedProcess process)
        throws IOException {
      this.kind = kind;
      this.onDisconnect = onDisconnect;
      this.id = id;
      this.process = process;
      this.address = process.address();
    }

    ManagedProcess process() {
      return process;
    }

    String id() {
      return id;
    }
  }

  SignalsFleet(Path directory, int gatewayCount) throws Exception {
    this.directory = directory;
    Files.createDirectories(directory);
    platform.amendConfigurations(SignalsFleet::amend);
    platform.configure(routes());
    for (OnDisconnect onDisconnect : APPLICATIONS) {
      engines.add(startEngine(Kind.APPLICATION, onDisconnect, 0));
    }
    for (OnDisconnect onDisconnect : OnDisconnect.values()) {
      engines.add(startEngine(Kind.MODEL, onDisconnect, 0));
    }
    engines.add(startEngine(Kind.PREFILL, OnDisconnect.CANCEL, 0));
    for (int busy = 0; busy < BUSY_ENGINES; busy++) {
      engines.add(startEngine(Kind.BUSY, OnDisconnect.CANCEL, 0));
    }
    for (int gateway = 0; gateway < gatewayCount; gateway++) {
      callers.add(new NetworkAddress(host(gateway), PeerLink.freePort()));
      writeSettings(gateway, gatewayCount);
      gateways.add(null);
    }
    for (int gateway = 0; gateway < gatewayCount; gateway++) {
      startGateway(gateway);
    }
  }

  private static String amend(String configuration) {
    String withBusy = RouteText.withService(configuration, BUSY_SERVICE);
    return RouteText.withMaxConnections(RouteText.withTarget(withBusy, TARGET), MAX_CONNECTIONS);
  }

  private static List<String> routes() {
    List<String> routes = new ArrayList<>(RouteText.defaults());
    routes.add(RouteText.route("busy", "idempotent", false, BUSY_SERVICE, BUSY_TIMEOUT_MILLIS));
    routes.add(
        RouteText.route("busy-once", "non_idempotent", false, BUSY_SERVICE, BUSY_TIMEOUT_MILLIS));
    return routes;
  }

  /** Whether a run was at a model engine. */
  static boolean isModel(EngineRuns.Run run) {
    return run.engine().startsWith(Kind.MODEL.idPrefix);
  }

  private static String host(int gateway) {
    return HOSTS + (FIRST_HOST + gateway);
  }

  private void writeSettings(int gateway, int gatewayCount) throws IOException {
    List<String> seeds =
        IntStream.range(0, gatewayCount).mapToObj(other -> host(other) + ":" + peerPort).toList();
    String text =
        String.format(
            Locale.ROOT,
            """
            [gateway]
            node_name = "gateway-%d"
            zone = "zone-1"
            callers = "%s"
            readiness = "127.0.0.1:0"
            peers = "%s:%d"
            seeds = "%s"
            [store]
            address = "%s"
            [bounds]
            grace = "%ds"
            retry_slack = 10000
            """,
            gateway + 1,
            callers.get(gateway),
            host(gateway),
            peerPort,
            String.join(",", seeds),
            platform.store().address(),
            GRACE.toSeconds());
    Files.writeString(settings(gateway), text);
  }

  private Path settings(int gateway) {
    return directory.resolve(gatewayName(gateway) + ".toml");
  }

  static String gatewayName(int gateway) {
    return "gateway-" + (gateway + 1);
  }

  /** Starts the process of a gateway; the one before has ended. */
  void startGateway(int gateway) throws IOException {
    String settings = settings(gateway).toString();
    if (gateway == 0) {
      startGateway(gateway, SoakGatewayMain.class, settings, links().toString(), LINKED_HOST);
    } else if (gateway == gateways.size() - 1) {
      startGateway(gateway, HungryGatewayMain.class, settings, hunger().toString());
    } else {
      startGateway(gateway, PlatformMain.class, settings);
    }
  }

  private void startGateway(int gateway, Class<?> program, String... arguments) throws IOException {
    gateways.set(
        gateway,
        ManagedProcess.start(gatewayName(gateway), directory, program, List.of(arguments)));
  }

  private Path hunger() {
    return directory.resolve("hunger");
  }

  /** Whether the last gateway's memory is used up from now on. */
  void setHungry(boolean hungry) throws IOException {
    if (hungry) {
      Files.writeString(hunger(), "");
    } else {
      Files.deleteIfExists(hunger());
    }
  }

  private Path links() {
    return directory.resolve("links");
  }

  /** Names the faults on the first gateway's links to the engines. */
  void setLinks(String fault) throws IOException {
    Path next = directory.resolve("links.next");
    Files.writeString(next, fault);
    Files.move(next, links(), StandardCopyOption.ATOMIC_MOVE);
  }

  ManagedProcess gateway(int index) {
    return gateways.get(index);
  }

  NetworkAddress callers(int gateway) {
    return callers.get(gateway);
  }

  int gatewayCount() {
    return gateways.size();
  }

  List<Engine> engines() {
    return engines;
  }

  private Engine startEngine(Kind kind, OnDisconnect onDisconnect, int port) throws IOException {
    enginesStarted++;
    String id = kind.idPrefix + enginesStarted;
    List<String> arguments = List.of(id, Integer.toString(port), onDisconnect.name(), kind.part);
    Engine engine =
        new Engine(
            kind, onDisconnect, id, ManagedProcess.start(id, directory, kind.program, arguments));
    kind.list(platform, id, engine.address);
    return engine;
  }

  /** Kills an engine; another takes its place, at its port, and its row stays until unlisted. */
  Engine replaceEngine(int index) throws IOException, InterruptedException {
    Engine old = engines.get(index);
    old.process.kill();
    old.killedNanos = System.nanoTime();
    ended.add(old);
    engines.set(index, startEngine(old.kind, old.onDisconnect, old.address.port()));
    return old;
  }

  /** Takes the row of an engine that has ended away. */
  void unlist(Engine engine) {
    platform.unlist(engine.id);
  }

  /** Kills all engines and reads what they printed. */
  EngineRuns endEngines() throws IOException, InterruptedException {
    EngineRuns runs = new EngineRuns();
    for (Engine engine : engines) {
      engine.process.kill();
      engine.killedNanos = System.nanoTime();
      ended.add(engine);
    }
    for (Engine engine : ended) {
      runs.read(engine.id, Files.readAllLines(engine.process.logFile()), engine.killedNanos);
    }
    return runs;
  }

  @Override
  public void close() throws Exception {
    gateways.forEach(ManagedProcess::close);
    engines.forEach(engine -> engine.process.close());
    platform.close();
  }
}
