package org.fallturn.rehearsal.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;
import org.fallturn.rehearsal.emulator.EngineCrash;
import org.fallturn.rehearsal.emulator.EngineFault;
import org.fallturn.rehearsal.emulator.PeerLink;
import org.fallturn.rehearsal.emulator.PoisonRequests;
import org.fallturn.rehearsal.emulator.RouteText;
import org.fallturn.rehearsal.emulator.StoreCopy;
import org.fallturn.rehearsal.emulator.StoreFault;
import org.fallturn.rehearsal.faults.FaultProxy;
import org.fallturn.rehearsal.faults.LinkFaults;

/**
 * The platform in this process, gateways as processes, and a link of the fault-injecting proxy
 * between each gateway and the store. One thread begins and ends faults.
 */
final class SoakFleet implements AutoCloseable {

  /** Bounds that the gateways are given; small, so that a run of minutes meets them. */
  static final Duration DRAIN = Duration.ofSeconds(2);

  static final Duration CONTACT = Duration.ofSeconds(3);

  static final double RETRY_RATIO = 0.2;
  static final double RETRY_SLACK = 12;
  static final Duration RETRY_WINDOW = Duration.ofSeconds(10);

  /** Together shorter than the time between two restores of the store, in which nobody orders. */
  static final Duration LEASE_TERM = Duration.ofSeconds(1);

  static final Duration LEASE_QUIET = Duration.ofMillis(500);

  /** Windows of usage, so short that a run has many. */
  static final Duration USAGE_WINDOW = Duration.ofSeconds(3);

  /** Long enough for another gateway to take over with a window that was reported. */
  static final Duration USAGE_LATE = Duration.ofSeconds(20);

  /** Longer than a gateway waits for the counts of a window to settle. */
  /** How long one of the engines works on after the connection of a request has ended. */
  private static final Duration WORKS_ON = Duration.ofSeconds(2);

  private static final Duration LONG_RUN = Duration.ofMillis(3_500);

  private static final int LONG_TIMEOUT_MILLIS = 8_000;

  /** The key of the only tenant. */
  static final String KEY = "key-1";

  /** What engines name as the requests a second that they take from all gateways together. */
  private static final List<String> LIMITS = List.of("0", "0.5", "2.2", "6");

  /** What an engine asks for that turns requests away. */
  static final Duration REST = Duration.ofSeconds(2);

  /** Shorter than a gateway waits for any sign of an engine. */
  private static final Duration REQUESTS_AT_ENGINES = Duration.ofMillis(300);

  private static final Duration ENGINES_SILENT = Duration.ofMillis(600);

  private static final int RELEASED_ENGINES = 2;

  /** One request in so many goes to any gateway while one gets most. */
  private static final int CROWDED_ONE_OUT_OF = 6;

  private static final String LOOPBACK = "127.0.0.1";

  /** A node is told no more addresses of others than the platform names. */
  private static final int MAX_SEEDS = 3;

  /** Twenty writes a second raise the store's counter, as heartbeats of some 25 engines would. */
  private static final int BEAT_MILLIS = 50;

  /** Number of beats between two copies of the store. */
  private static final int BEATS_PER_COPY = 10;

  /** Copies that are kept, of the last six seconds. */
  private static final int COPIES = 12;

  /** The newest copy, in order of age, from which the store is restored. */
  private static final int NEWEST_COPY = 4;

  /** Time until operator and engines have written their rows again. */
  private static final int WRITTEN_AGAIN_MILLIS = 300;

  private static final Set<String> SERVICES_WITH_FAULTS =
      Set.of(EmulatedPlatform.MODEL_SERVICE, EmulatedPlatform.APPLICATION_SERVICE);

  private static final String GATEWAY_NAME = "gateway-";

  private final EmulatedPlatform platform;
  private final Deque<StoreCopy> copies = new ArrayDeque<>();
  private final List<SoakRecord.AddedRoute> routes = new CopyOnWriteArrayList<>();
  private final Thread heart = new Thread(this::beat, "heart");
  private StoreCopy restoredFrom;
  private boolean rowsLapse;
  private final FaultProxy proxy;
  private final List<ServerSocket> reservedPorts = new ArrayList<>();
  private final List<SoakGateway> gateways = new ArrayList<>();
  private final List<String> poisons = new CopyOnWriteArrayList<>();
  private final List<String> poisonParts = new CopyOnWriteArrayList<>();
  private final Map<Integer, EmulatedEngine> unframed = new HashMap<>();
  private volatile OptionalInt crowded = OptionalInt.empty();
  private final Set<Integer> peersSilent = ConcurrentHashMap.newKeySet();
  private final List<SoakRecord.Drain> drains = new CopyOnWriteArrayList<>();
  private final Map<Integer, Draining> draining = new HashMap<>();
  private final List<SoakRecord.Rest> rests = new CopyOnWriteArrayList<>();
  private final Map<Integer, Draining> resting = new HashMap<>();
  private final Map<Integer, EmulatedEngine> leaving = new HashMap<>();
  private final Map<Integer, List<EmulatedEngine>> released = new HashMap<>();
  private int newestVersion = 1;
  private final List<SoakRecord.Limit> limits = new CopyOnWriteArrayList<>();
  private final Map<Integer, List<Draining>> limited = new HashMap<>();
  private final SoakKills kills;
  private final SoakUpgrades upgrades;
  private final SoakOddEntries oddEntries;

  /** An engine that leaves, wants rest or names a limit, since a time. */
  private record Draining(EmulatedEngine engine, long fromNanos) {}

  /**
   * Starts everything.
   *
   * @param size number of gateways
   * @param otherBuild class path of another build of the gateways; empty for none
   */
  SoakFleet(long seed, int size, Path directory, String otherBuild) throws Exception {
    platform = new EmulatedPlatform();
    platform.amendConfigurations(SoakFleet::withTenantAndLongRuns);
    platform.configure(defaultRoutes());
    proxy = new FaultProxy(seed);
    addEngines("p", EmulatedPlatform.MODEL_SERVICE, "prefill", 2);
    addEngines("d", EmulatedPlatform.MODEL_SERVICE, "decode", 4);
    addEngines("a", EmulatedPlatform.APPLICATION_SERVICE, "", 3);
    platform.workOnAfterEnd("d-2", WORKS_ON);
    List<EmulatedEngine> slow = new ArrayList<>();
    for (int index = 1; index <= 3; index++) {
      slow.add(platform.addEngine("b-" + index, EmulatedPlatform.LONG_SERVICE, ""));
    }
    slow.forEach(engine -> engine.runFor(LONG_RUN));
    kills = new SoakKills(platform);
    upgrades = new SoakUpgrades(platform);
    oddEntries = new SoakOddEntries(platform, slow.get(0), slow.get(1));
    List<PeerLink> peers = new ArrayList<>();
    int peerPort = reservePort();
    int callerPort = reservePort();
    for (int index = 0; index < size; index++) {
      peers.add(new PeerLink(index, peerPort));
    }
    List<NetworkAddress> seeds = peers.stream().limit(MAX_SEEDS).map(PeerLink::advertised).toList();
    for (int index = 0; index < size; index++) {
      NetworkAddress store =
          proxy.openTcp(
              storeLink(index), new NetworkAddress(LOOPBACK, 0), platform.store().address());
      gateways.add(
          new SoakGateway(
              GATEWAY_NAME + index,
              directory,
              new NetworkAddress(peers.get(index).gateway().host(), callerPort),
              peers.get(index),
              store,
              platform.api().address(),
              seeds,
              SoakBuilds.of(otherBuild, index)));
    }
    for (SoakGateway gateway : gateways) {
      gateway.start();
    }
    heart.setDaemon(true);
    heart.start();
  }

  private static String withTenantAndLongRuns(String configuration) {
    return RouteText.withTenants(
        SoakUpgrades.withServices(
            RouteText.withService(configuration, EmulatedPlatform.LONG_SERVICE)),
        List.of(RouteText.tenant("tenant-1", OptionalInt.empty(), KEY)));
  }

  private static List<String> defaultRoutes() {
    List<String> routes = new ArrayList<>(RouteText.defaults());
    routes.add(
        RouteText.route(
            "long", "non_idempotent", false, EmulatedPlatform.LONG_SERVICE, LONG_TIMEOUT_MILLIS));
    routes.addAll(SoakUpgrades.routes());
    return routes;
  }

  private void beat() {
    for (long beat = 0; !Thread.currentThread().isInterrupted(); beat++) {
      platform.store().put("beats", "beat", Long.toString(beat));
      if (beat % BEATS_PER_COPY == 0) {
        keepCopy(platform.store().copy());
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(BEAT_MILLIS));
    }
  }

  private synchronized void keepCopy(StoreCopy copy) {
    copies.addFirst(copy);
    if (copies.size() > COPIES) {
      copies.removeLast();
    }
  }

  /** The store is away, to come back from a copy that is two to six seconds old if there is one. */
  synchronized void loseStore(int target) {
    List<StoreCopy> known = List.copyOf(copies);
    int newest = Math.min(NEWEST_COPY, known.size() - 1);
    restoredFrom = known.get(newest + Math.floorMod(target, known.size() - newest));
    rowsLapse = Math.floorMod(target / COPIES, 2) == 0;
    platform.store().misbehave(StoreFault.DOWN);
  }

  /** Operator and engines write again a moment after the store has come back. */
  synchronized void restoreStore() throws InterruptedException {
    platform.restoreStore(restoredFrom);
    copies.clear();
    copies.add(platform.store().copy());
    if (rowsLapse) {
      platform.lapseEngines();
    }
    platform.store().misbehave(StoreFault.NONE);
    TimeUnit.MILLISECONDS.sleep(WRITTEN_AGAIN_MILLIS);
    platform.writeAgain();
  }

  /** The operator adds a route that no gateway has had. */
  void addRoute() {
    String name = "added-" + routes.size();
    configure(name);
    routes.add(new SoakRecord.AddedRoute(name, System.nanoTime(), Long.MAX_VALUE));
  }

  /** The operator removes the route that was added last. */
  void removeRoute() {
    platform.configure(defaultRoutes());
    int last = routes.size() - 1;
    routes.set(last, routes.get(last).removedAt(System.nanoTime()));
  }

  private void configure(String added) {
    List<String> all = defaultRoutes();
    all.add(
        RouteText.route(added, "idempotent", false, EmulatedPlatform.APPLICATION_SERVICE, 4_000));
    platform.configure(all);
  }

  /** The routes that were added so far, removed ones among them. */
  List<SoakRecord.AddedRoute> routes() {
    return List.copyOf(routes);
  }

  private void addEngines(String prefix, String service, String stage, int count) throws Exception {
    for (int index = 1; index <= count; index++) {
      platform.addEngine(prefix + "-" + index, service, stage);
    }
  }

  /**
   * Reserves a port of the gateways' hosts until the fleet is closed. It is held on the host that
   * outgoing connections come from, so that neither these nor another fleet can take it while a
   * gateway is down.
   */
  private int reservePort() throws IOException {
    ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
    reservedPorts.add(reserved);
    return reserved.getLocalPort();
  }

  private static String storeLink(int gateway) {
    return "store-" + gateway;
  }

  EmulatedPlatform platform() {
    return platform;
  }

  SoakGateway gateway(int target) {
    return gateways.get(indexOf(target));
  }

  /** The index of the gateway that is meant by a target. */
  int indexOf(int target) {
    return gatewayIndex(target, gateways.size());
  }

  /** The index of the gateway with a name. */
  int indexOf(String name) {
    return Integer.parseInt(name.substring(GATEWAY_NAME.length()));
  }

  static int gatewayIndex(int target, int gateways) {
    return Math.floorMod(target, gateways);
  }

  List<SoakGateway> gateways() {
    return gateways;
  }

  /** The engine that is meant by a target; those of services of their own have no faults. */
  EmulatedEngine engine(int target) {
    List<EmulatedEngine> engines =
        platform.engines().stream()
            .filter(engine -> SERVICES_WITH_FAULTS.contains(engine.service()))
            .toList();
    return engines.get(Math.floorMod(target, engines.size()));
  }

  /** From now on callers send a content that crashes every model engine. */
  void addPoison(int target) {
    EngineCrash when = EngineCrash.values()[Math.floorMod(target, EngineCrash.values().length)];
    String body = "poison " + poisons.size();
    platform.crashOn(body, when);
    poisons.add(body);
  }

  /** The contents that crash model engines. */
  List<String> poisons() {
    return List.copyOf(poisons);
  }

  /** From now on callers send requests like no other with a part that crashes model engines. */
  void addPoisonPart(int target) {
    EngineCrash when =
        Math.floorMod(target, 2) == 0 ? EngineCrash.BEFORE_ANSWER : EngineCrash.MIDWAY;
    String part = "bad" + poisonParts.size();
    platform.crashOn(PoisonRequests.withPromptPart(part), when);
    poisonParts.add(part);
  }

  /** The parts of prompts that crash model engines. */
  List<String> poisonParts() {
    return List.copyOf(poisonParts);
  }

  void endAnswersWithConnection(int target) {
    EmulatedEngine engine = engine(target);
    engine.endAnswersWithConnection(true);
    unframed.put(target, engine);
  }

  void markEndsOfAnswers(int target) {
    unframed.remove(target).endAnswersWithConnection(false);
  }

  /** Most requests go to one gateway, each on a connection of its own. */
  void crowd(int target) {
    crowded = OptionalInt.of(target);
  }

  void endCrowd() {
    crowded = OptionalInt.empty();
  }

  /** Whether one gateway gets most connections now. */
  boolean isCrowded() {
    return crowded.isPresent();
  }

  /**
   * The target of a request: mostly that of the gateway that gets most connections, if one does.
   */
  int target(Random random) {
    int drawn = random.nextInt(Integer.MAX_VALUE);
    OptionalInt crowd = crowded;
    return crowd.isPresent() && drawn % CROWDED_ONE_OUT_OF != 0 ? crowd.getAsInt() : drawn;
  }

  /**
   * Makes requests of other gateways to one hang from a moment later on. Until then, and for a
   * moment more, sound engines of applications answer nothing, so that it has requests of others at
   * engines when the link falls silent.
   */
  void silencePeerRequests(int target) {
    List<EmulatedEngine> silent =
        platform.engines().stream()
            .filter(engine -> engine.service().equals(EmulatedPlatform.APPLICATION_SERVICE))
            .filter(engine -> engine.misbehaveInPlaceOf(EngineFault.NONE, EngineFault.SILENT))
            .toList();
    peersSilent.add(target);
    after(REQUESTS_AT_ENGINES, () -> setPeerRequests(target));
    after(
        ENGINES_SILENT,
        () ->
            silent.forEach(
                engine -> engine.misbehaveInPlaceOf(EngineFault.SILENT, EngineFault.NONE)));
  }

  private static void after(Duration delay, Runnable action) {
    CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS).execute(action);
  }

  void endPeerSilence(int target) {
    peersSilent.remove(target);
    setPeerRequests(target);
  }

  private synchronized void setPeerRequests(int target) {
    gateway(target)
        .setPeerRequests(peersSilent.contains(target) ? LinkFaults.SILENT : LinkFaults.NONE);
  }

  void setStoreLink(int target, LinkFaults faults) {
    proxy.set(storeLink(Math.floorMod(target, gateways.size())), faults);
  }

  void drain(int target) {
    EmulatedEngine engine = engine(target);
    platform.list(engine, true);
    draining.put(target, new Draining(engine, System.nanoTime()));
  }

  /** The time is noted before the engine is listed as ready again; one that has crashed is not. */
  void endDrain(int target) {
    Draining drained = draining.remove(target);
    EmulatedEngine engine = drained.engine();
    drains.add(new SoakRecord.Drain(engine.id(), drained.fromNanos(), System.nanoTime()));
    if (platform.engines().contains(engine)) {
      platform.list(engine, false);
    }
  }

  /** An engine says in its answers that it leaves, whatever its entry says. */
  void sayLeaving(int target) {
    EmulatedEngine engine = engine(target);
    engine.sayLeaving();
    leaving.put(target, engine);
  }

  /** Its entry goes and another engine comes; it serves on. */
  void replaceLeaving(int target) throws Exception {
    EmulatedEngine engine = leaving.remove(target);
    platform.addSuccessor(engine);
    platform.unlist(engine);
  }

  /**
   * Two engines of a further software version take the place of decode engines, which leave. The
   * release that ends last is not always the one that began last, so that several versions serve.
   */
  void release(int target) throws Exception {
    newestVersion++;
    released.put(
        target,
        platform.release(
            EmulatedPlatform.MODEL_SERVICE, target, RELEASED_ENGINES, "v" + newestVersion));
  }

  /** The engines that were replaced end, with streams that they run. */
  void endRelease(int target) {
    released.remove(target).forEach(platform::end);
  }

  /** Number of engines that run streams at a software version and do not leave. */
  int decoders(String softwareVersion) {
    return (int)
        platform.engines().stream()
            .filter(engine -> engine.service().equals(EmulatedPlatform.MODEL_SERVICE))
            .filter(engine -> engine.stage().equals("decode"))
            .filter(engine -> engine.softwareVersion().equals(softwareVersion))
            .count();
  }

  SoakKills kills() {
    return kills;
  }

  SoakUpgrades upgrades() {
    return upgrades;
  }

  SoakOddEntries oddEntries() {
    return oddEntries;
  }

  void rest(int target) {
    EmulatedEngine engine = engine(target);
    resting.put(target, new Draining(engine, System.nanoTime()));
    engine.turnAwayFor(Long.toString(REST.toSeconds()));
  }

  void endRest(int target) {
    Draining rested = resting.remove(target);
    rested.engine().turnAwayFor("");
    rests.add(new SoakRecord.Rest(rested.engine().id(), rested.fromNanos(), System.nanoTime()));
  }

  /** The engines that serve with an engine, itself included. */
  List<EmulatedEngine> sameServiceAs(EmulatedEngine engine) {
    return platform.engines().stream()
        .filter(other -> other.service().equals(engine.service()))
        .toList();
  }

  /** All engines of a service turn requests away, and send their refusals twice. */
  void repeatRefusals(String service, int target) {
    platform.engines().stream()
        .filter(engine -> engine.service().equals(service))
        .forEach(engine -> engine.repeatRefusals(target + engine.id().hashCode()));
  }

  void endRepeatingRefusals() {
    platform.allEngines().forEach(EmulatedEngine::endRepeatingRefusals);
  }

  private static String limit(int target) {
    return LIMITS.get(Math.floorMod(target / LIMITS.size(), LIMITS.size()));
  }

  /** Engines name a limit in their answers; they serve any number. */
  void nameLimit(int target, List<EmulatedEngine> engines) {
    long now = System.nanoTime();
    limited.put(target, engines.stream().map(engine -> new Draining(engine, now)).toList());
    engines.forEach(engine -> engine.nameLimit(limit(target)));
  }

  void endLimit(int target) {
    double perSecond = Double.parseDouble(limit(target));
    for (Draining named : limited.remove(target)) {
      EmulatedEngine engine = named.engine();
      limits.add(
          new SoakRecord.Limit(engine.id(), perSecond, named.fromNanos(), System.nanoTime()));
      engine.nameLimit("");
    }
  }

  List<SoakRecord.Limit> limits() {
    return List.copyOf(limits);
  }

  List<SoakRecord.Rest> rests() {
    return List.copyOf(rests);
  }

  List<SoakRecord.Drain> drains() {
    return List.copyOf(drains);
  }

  @Override
  public void close() throws Exception {
    heart.interrupt();
    for (SoakGateway gateway : gateways) {
      gateway.close();
    }
    proxy.close();
    platform.close();
    for (ServerSocket reserved : reservedPorts) {
      reserved.close();
    }
  }
}
