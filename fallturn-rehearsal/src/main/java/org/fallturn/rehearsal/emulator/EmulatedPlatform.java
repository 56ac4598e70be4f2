package org.fallturn.rehearsal.emulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gateway.GatewayPlatform;
import org.fallturn.node.gateway.GatewayServer;
import org.fallturn.node.settings.GatewaySettings;
import org.fallturn.platform.PlatformMain;

/**
 * A store, an operator's configuration, engines of both stages, application back ends and gateways,
 * all in this process. One thread uses it; engines that crash are replaced on threads of theirs.
 */
public final class EmulatedPlatform implements AutoCloseable {

  /** Host of every route. */
  public static final String HOST = "shop.example";

  /** Path of a stream that may be resumed. */
  public static final String RESUMABLE = "/resumable/x";

  /** Path of a stream that may not be resumed. */
  public static final String STREAM = "/stream/x";

  /** Path of an application request that may be repeated. */
  public static final String IDEMPOTENT = "/idempotent/x";

  /** Path of an application request that may not be repeated. */
  public static final String NON_IDEMPOTENT = "/once/x";

  /** Service of the model engines. */
  public static final String MODEL_SERVICE = "llm";

  /** Service of the application back ends. */
  public static final String APPLICATION_SERVICE = "app";

  /** Path of an application request that runs for long and may not be repeated. */
  public static final String LONG = "/long/x";

  /** Service of the application back ends whose runs take long. */
  public static final String LONG_SERVICE = "batch";

  private static final String ANY_PEERS_PORT = "peers = \"127.0.0.1:0\"";
  private static final long READY_SECONDS = 20;
  private static final long CHECK_MILLIS = 5;
  private static final String OPERATOR_TABLE = "op";
  private static final String CONFIGURATION_KEY = "config";
  private static final String ENGINE_TABLE = "servers";

  private final EmulatedStore store;
  private final EmulatedApi api;
  private final List<EmulatedEngine> engines = new ArrayList<>();
  private final List<EmulatedEngine> crashed = new ArrayList<>();
  private final List<EmulatedEngine> replaced = new ArrayList<>();
  private final Map<String, List<Long>> crashTimes = new HashMap<>();
  private final List<GatewayServer> gateways = new ArrayList<>();
  private final Map<String, Map<String, String>> lost = new HashMap<>();
  private Consumer<EmulatedEngine> preparing = engine -> {};
  private int version = 1;
  private boolean idsStay;
  private UnaryOperator<String> amending = text -> text;
  private Duration usageWindow = Duration.ZERO;

  /** Starts the store with the default configuration. */
  public EmulatedPlatform() throws Exception {
    store = new EmulatedStore();
    api = new EmulatedApi();
    configure(RouteText.defaults());
  }

  /** The store. */
  public EmulatedStore store() {
    return store;
  }

  /** The API for calls that one node makes for all. */
  public EmulatedApi api() {
    return api;
  }

  /** Gateways that are made from now on report usage for windows of this length. */
  public void reportUsage(Duration window) {
    usageWindow = window;
  }

  /** Puts a configuration with these routes in force. */
  public void configure(List<String> routes) {
    version += 2;
    String text = RouteText.configuration(version, routes);
    write(OPERATOR_TABLE, CONFIGURATION_KEY, amending.apply(text));
  }

  /** Changes the text of each configuration that {@link #configure(List)} puts in force. */
  public void amendConfigurations(UnaryOperator<String> newAmending) {
    amending = newAmending;
  }

  /** Puts the default routes in force with a limit on how long a connection may be idle. */
  public void configureIdleTimeout(Duration timeout) {
    version += 2;
    String text = RouteText.configuration(version, RouteText.defaults());
    write(OPERATOR_TABLE, CONFIGURATION_KEY, RouteText.withIdleTimeout(text, timeout));
  }

  /** Puts the default routes in force for callers that bear a key of one of these tenants. */
  public void configureTenants(String... tenants) {
    configure(RouteText.defaults(), tenants);
  }

  /** Puts these routes in force for callers that bear a key of one of these tenants. */
  public void configure(List<String> routes, String... tenants) {
    version += 2;
    String text = RouteText.configuration(version, routes, List.of(tenants));
    write(OPERATOR_TABLE, CONFIGURATION_KEY, text);
  }

  /** From now on engines tell when they started, and start again under the ids that they had. */
  public void keepIdsAcrossRestarts() {
    idsStay = true;
  }

  /** Writes an entry into the list of engines, whatever it says. */
  public void listStrange(String id, String row) {
    write(ENGINE_TABLE, id, row);
  }

  /** Lists an application back end that runs elsewhere. */
  public void listApplication(String id, NetworkAddress address) {
    listApplication(id, APPLICATION_SERVICE, address);
  }

  /** Lists an application back end of some service that runs elsewhere. */
  public void listApplication(String id, String service, NetworkAddress address) {
    write(ENGINE_TABLE, id, EngineRowText.of(service, address, ""));
  }

  /** Lists a model engine that runs elsewhere. */
  public void listModel(String id, NetworkAddress address, String stage) {
    write(ENGINE_TABLE, id, EngineRowText.of(MODEL_SERVICE, address, stage));
  }

  /** Starts an engine and lists it; a model engine crashes on the same contents as the others. */
  public EmulatedEngine addEngine(String id, String service, String stage) throws Exception {
    return add(
        idsStay
            ? EmulatedEngine.bornAt(System.currentTimeMillis(), id, service, stage)
            : new EmulatedEngine(id, service, stage));
  }

  /** Starts a model engine that decodes, with a version of its software, and lists it. */
  public synchronized EmulatedEngine addDecoder(String id, String softwareVersion)
      throws Exception {
    return add(new EmulatedEngine(id, MODEL_SERVICE, softwareVersion, "decode"));
  }

  private EmulatedEngine add(EmulatedEngine engine) {
    engines.add(engine);
    if (!engine.stage().isEmpty()) {
      preparing.accept(engine);
    }
    list(engine, false);
    return engine;
  }

  /** Starts an engine of the same kind under an id that no engine has had. */
  public synchronized EmulatedEngine addSuccessor(EmulatedEngine engine) throws Exception {
    return add(
        new EmulatedEngine(
            unusedId(engine.id()), engine.service(), engine.softwareVersion(), engine.stage()));
  }

  /** Two engines of one id would be taken for one: what one says of itself would hold for both. */
  private String unusedId(String id) {
    Set<String> used = allEngines().stream().map(EmulatedEngine::id).collect(Collectors.toSet());
    String unused = id + "+";
    while (used.contains(unused)) {
      unused += "+";
    }
    return unused;
  }

  /**
   * Lets every model engine crash on a content from now on, also one that leaves; another starts
   * under its address at once, and its row takes the place of the former.
   */
  public synchronized void crashOn(String body, EngineCrash when) {
    crashOn(PoisonRequests.withBody(body), when);
  }

  /** As {@link #crashOn(String, EngineCrash)}, for any requests. */
  public synchronized void crashOn(PoisonRequests requests, EngineCrash when) {
    Consumer<EmulatedEngine> added =
        engine -> engine.crashOn(requests, when, crashed -> replace(crashed, requests.value()));
    preparing = preparing.andThen(added);
    modelEngines().forEach(added);
    replaced.forEach(added);
  }

  /**
   * Answers of all model engines have neither a length nor chunks from now on, and end with their
   * connections.
   */
  public synchronized void endAnswersWithConnection() {
    Consumer<EmulatedEngine> added = engine -> engine.endAnswersWithConnection(true);
    preparing = preparing.andThen(added);
    modelEngines().forEach(added);
  }

  /**
   * Model engines whose ids begin so, and their successors, work on after their connections have
   * ended from now on.
   */
  public synchronized void workOnAfterEnd(String idPrefix, Duration duration) {
    Consumer<EmulatedEngine> added =
        engine -> {
          if (engine.id().startsWith(idPrefix)) {
            engine.workOnAfterEnd(duration);
          }
        };
    preparing = preparing.andThen(added);
    modelEngines().forEach(added);
  }

  /** When engines crashed on a body or a part of a prompt, by the steady clock. */
  public synchronized List<Long> crashNanos(String poison) {
    return List.copyOf(crashTimes.getOrDefault(poison, List.of()));
  }

  /** The same, but nothing takes an engine's place, and its row stays. */
  public synchronized void crashForGoodOn(String body, EngineCrash when) {
    PoisonRequests requests = PoisonRequests.withBody(body);
    modelEngines().forEach(engine -> engine.crashOn(requests, when, this::endCrashed));
  }

  private List<EmulatedEngine> modelEngines() {
    return engines.stream().filter(engine -> !engine.stage().isEmpty()).toList();
  }

  /** Whether it had not ended before. */
  private synchronized boolean endCrashed(EmulatedEngine engine) {
    if (!engines.remove(engine)) {
      return false;
    }
    crashed.add(engine);
    close(engine);
    return true;
  }

  /** The engines that serve now; one that has crashed is followed by its successor. */
  public synchronized List<EmulatedEngine> engines() {
    return List.copyOf(engines);
  }

  /** How many engines have crashed. */
  public synchronized int crashes() {
    return crashed.size();
  }

  /** Every engine that has served, also those that have crashed. */
  public synchronized List<EmulatedEngine> allEngines() {
    List<EmulatedEngine> all = new ArrayList<>(engines);
    all.addAll(crashed);
    all.addAll(replaced);
    return all;
  }

  /** An engine that crashes is killed, and the time is noted. */
  private synchronized void replace(EmulatedEngine engine, String poison) {
    if (replaced.contains(engine) || engines.contains(engine)) {
      crashTimes.computeIfAbsent(poison, known -> new ArrayList<>()).add(System.nanoTime());
      kill(engine);
    }
  }

  /**
   * Kills an engine, unless it has ended before. Another starts under its address at once, and its
   * row takes the place of the former; one that leaves is followed by none.
   */
  public synchronized void kill(EmulatedEngine engine) {
    if (replaced.remove(engine)) {
      endReplaced(engine);
      return;
    }
    int place = engines.indexOf(engine);
    if (endCrashed(engine)) {
      startSuccessor(engine, place);
    }
  }

  /** The successor has the place of the engine in every list. */
  private void startSuccessor(EmulatedEngine engine, int place) {
    try {
      EmulatedEngine successor =
          engine.tellsItsStart() ? engine.restarted() : engine.successor(unusedId(engine.id()));
      engines.add(place, successor);
      preparing.accept(successor);
      if (!engine.tellsItsStart()) {
        unlist(engine);
      }
      list(successor, false);
    } catch (Exception e) {
      throw new IllegalStateException("no engine takes the place of " + engine.id(), e);
    }
  }

  /** The place of an engine that leaves has been taken already. */
  private void endReplaced(EmulatedEngine engine) {
    crashed.add(engine);
    unlist(engine);
    close(engine);
  }

  /**
   * Starts engines of another software version, which take the places of decode engines of a
   * service in every list. Those are listed as leaving and serve on until {@link #end}.
   *
   * @param target index among the decode engines of the first that is replaced
   * @param count how many are replaced, at most
   * @return the engines that leave
   */
  public synchronized List<EmulatedEngine> release(
      String service, int target, int count, String softwareVersion) throws Exception {
    List<EmulatedEngine> decoders =
        engines.stream()
            .filter(engine -> engine.service().equals(service) && engine.stage().equals("decode"))
            .toList();
    List<EmulatedEngine> leaving = new ArrayList<>();
    for (int index = 0; index < Math.min(count, decoders.size()); index++) {
      EmulatedEngine leaver = decoders.get(Math.floorMod(target + index, decoders.size()));
      EmulatedEngine next =
          new EmulatedEngine(
              unusedId(leaver.id()), leaver.service(), softwareVersion, leaver.stage());
      engines.set(engines.indexOf(leaver), next);
      replaced.add(leaver);
      preparing.accept(next);
      list(next, false);
      list(leaver, true);
      leaving.add(leaver);
    }
    return leaving;
  }

  /** Ends an engine that was replaced, on a thread of its own; its streams break off. */
  public void end(EmulatedEngine engine) {
    unlist(engine);
    new Thread(() -> close(engine), "end-" + engine.id()).start();
  }

  private static void close(EmulatedEngine engine) {
    try {
      engine.close();
    } catch (Exception e) {
      throw new IllegalStateException(engine.id() + " does not end", e);
    }
  }

  /** Writes an engine's row. */
  public void list(EmulatedEngine engine, boolean draining) {
    write(ENGINE_TABLE, engine.id(), engine.row(draining));
  }

  /** Takes an engine's row away. */
  public void unlist(EmulatedEngine engine) {
    unlist(engine.id());
  }

  /** Takes the row with an id away. */
  public void unlist(String id) {
    remove(ENGINE_TABLE, id);
  }

  /**
   * Restores the store from a copy. What the operator and the engines wrote since is missing until
   * {@link #writeAgain()}.
   */
  public synchronized void restoreStore(StoreCopy copy) {
    for (String table : List.of(OPERATOR_TABLE, ENGINE_TABLE)) {
      lost.putIfAbsent(table, new HashMap<>(store.values(table)));
    }
    store.restore(copy);
  }

  /**
   * Drops the rows of all engines from a restored store, as of engines that could not renew them.
   */
  public synchronized void lapseEngines() {
    store.values(ENGINE_TABLE).keySet().forEach(key -> store.remove(ENGINE_TABLE, key));
  }

  private synchronized void write(String table, String key, String value) {
    store.put(table, key, value);
    if (lost.containsKey(table)) {
      lost.get(table).put(key, value);
    }
  }

  private synchronized void remove(String table, String key) {
    store.remove(table, key);
    if (lost.containsKey(table)) {
      lost.get(table).remove(key);
    }
  }

  /** Writes the rows of operator and engines as they were before the store was restored. */
  public synchronized void writeAgain() {
    lost.forEach(this::writeAgain);
    lost.clear();
  }

  private void writeAgain(String table, Map<String, String> before) {
    Map<String, String> copied = store.values(table);
    before.forEach((key, value) -> store.put(table, key, value));
    copied.keySet().stream()
        .filter(key -> !before.containsKey(key))
        .forEach(key -> store.remove(table, key));
  }

  /** Starts the first gateway of a system that has never run, and waits until it is ready. */
  public GatewayServer addFirstGateway() throws Exception {
    GatewayServer gateway = newGateway(0, true, adapters -> adapters);
    gateway.start();
    awaitReady(gateway);
    return gateway;
  }

  /** Starts a gateway and waits until it is ready. */
  public GatewayServer addGateway(NetworkAddress... seeds) throws Exception {
    GatewayServer gateway = startGateway(seeds);
    awaitReady(gateway);
    return gateway;
  }

  private static void awaitReady(GatewayServer gateway) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
    while (!gateway.ready()) {
      if (System.nanoTime() - until > 0) {
        throw new IllegalStateException("the gateway does not become ready");
      }
      TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
    }
  }

  /** Starts a gateway that reaches engines by links of its own, and waits until it is ready. */
  public GatewayServer addGateway(EngineLinks links, NetworkAddress... seeds) throws Exception {
    GatewayServer gateway = newGateway(0, false, links::putBefore, seeds);
    gateway.start();
    awaitReady(gateway);
    return gateway;
  }

  /**
   * Starts a gateway that the others reach by a link of its own, and waits until it is ready.
   *
   * @param peerLink the link
   */
  public GatewayServer addGateway(PeerLink peerLink, NetworkAddress... seeds) throws Exception {
    return addGateway(peerLink, adapters -> adapters, seeds);
  }

  /**
   * The same, with other adapters.
   *
   * @param adapt returns the adapters to use in place of the usual ones
   */
  public GatewayServer addGateway(
      PeerLink peerLink, UnaryOperator<GatewayPlatform> adapt, NetworkAddress... seeds)
      throws Exception {
    String peers =
        "peers = \"%s\"\nadvertised = \"%s\"".formatted(peerLink.gateway(), peerLink.advertised());
    GatewayServer gateway = newGateway(0, false, peers, adapt, seeds);
    gateway.start();
    awaitReady(gateway);
    return gateway;
  }

  /** Starts a gateway without waiting. */
  public GatewayServer startGateway(NetworkAddress... seeds) throws Exception {
    GatewayServer gateway = newGateway(seeds);
    gateway.start();
    return gateway;
  }

  /** Makes a gateway that callers can connect to already, and that has not been started. */
  public GatewayServer newGateway(NetworkAddress... seeds) throws Exception {
    return newGateway(0, seeds);
  }

  /**
   * Makes a gateway that has not been started.
   *
   * @param metricsPort where it serves its figures; 0 for nowhere
   */
  public GatewayServer newGateway(int metricsPort, NetworkAddress... seeds) throws Exception {
    return newGateway(metricsPort, false, adapters -> adapters, seeds);
  }

  private GatewayServer newGateway(
      int metricsPort,
      boolean firstStart,
      UnaryOperator<GatewayPlatform> adapt,
      NetworkAddress... seeds)
      throws Exception {
    return newGateway(metricsPort, firstStart, ANY_PEERS_PORT, adapt, seeds);
  }

  private GatewayServer newGateway(
      int metricsPort,
      boolean firstStart,
      String peers,
      UnaryOperator<GatewayPlatform> adapt,
      NetworkAddress... seeds)
      throws Exception {
    StringBuilder seedText = new StringBuilder();
    for (NetworkAddress seed : seeds) {
      seedText.append(seedText.length() == 0 ? "" : ",").append(seed);
    }
    String text =
        String.format(
            Locale.ROOT,
            """
            [gateway]
            node_name = "gateway-%d"
            zone = "zone-1"
            callers = "127.0.0.1:0"
            readiness = "127.0.0.1:0"
            %s
            seeds = "%s"
            metrics_port = %d
            first_start = %b

            [store]
            address = "%s"

            [bounds]
            grace = "5s"
            stop_linger = "400ms"
            retry_slack = 100

            [duties]
            api = "%s"
            usage_window = "%dms"
            usage_late = "20s"
            """,
            gateways.size() + 1,
            peers,
            seedText,
            metricsPort,
            firstStart,
            store.address(),
            api.address(),
            usageWindow.toMillis());
    GatewaySettings settings =
        GatewaySettings.from(GatewaySettings.reader().toml("emulated", text).values());
    GatewayServer gateway =
        new GatewayServer(settings, adapt.apply(PlatformMain.platform(settings)));
    gateways.add(gateway);
    return gateway;
  }

  @Override
  public void close() throws Exception {
    for (GatewayServer gateway : gateways) {
      gateway.close();
    }
    for (EmulatedEngine engine : allEngines()) {
      engine.close();
    }
    api.close();
    store.close();
  }
}
