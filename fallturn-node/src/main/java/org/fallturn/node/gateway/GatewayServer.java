package org.fallturn.node.gateway;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.clock.WallClock;
import org.fallturn.core.dispatch.DispatchParameters;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.dispatch.EngineNotices;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.FollowBounds;
import org.fallturn.core.following.WatchOrder;
import org.fallturn.core.peers.RelayOverlay;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.FeedTracker;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.RequestLimits;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.scaling.ScaleControl;
import org.fallturn.core.stages.OrderLease;
import org.fallturn.node.duty.DutyState;
import org.fallturn.node.duty.DutyThread;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.json.MalformedMessageException;
import org.fallturn.node.metrics.LogSetup;
import org.fallturn.node.settings.GatewaySettings;

/**
 * Wires a gateway process: the doors, the dispatch duty, the followers of the store. One thread
 * starts and stops it.
 */
public final class GatewayServer implements AutoCloseable {

  private static final int MAX_THREADS = 24;
  private static final int MIN_THREADS = 4;
  private static final int RING_SIZE = 4_096;

  /**
   * How often deadlines and patience are checked. At 10 ms the ticks took most of the dispatch
   * thread's time on a node of 95 (docs/experiments/large.md).
   */
  private static final Duration TICK = Duration.ofMillis(25);

  /** An engine that begins to leave is known within this part of the time that it still takes. */
  private static final int GATHER_PARTS = 4;

  private static final long RING_FULL_PAUSE_NANOS = 100_000;
  private static final long MAX_BODY_BYTES_IN_FLIGHT = 48L << 20;
  private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;

  private static final Duration LONGEST_WAIT_TO_ACCEPT = Duration.ofMillis(300);

  private static final String ROUTING = "routing";
  private static final String ENGINES = "engines";
  private static final int PEER_THREADS = 4;
  private static final long STOP_CHECK_MILLIS = 20;

  private final GatewaySettings settings;
  private final GatewayPlatform platform;
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final DecisionLog log = new DecisionLog(metrics);
  private final GatewayState state;
  private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
  private final Server server;
  private final HttpConfiguration http = new HttpConfiguration();
  private final WatchedConnector callers;
  private final EngineNotices notices;
  private final EngineClient engines;
  private final PeerPorts peerPorts;
  private final PeerExchange peers;
  private final RelayOverlay overlay;
  private final CacheSurvey survey;
  private final PeerSnapshots snapshots;
  private final FollowCounts followCounts = new FollowCounts();
  private final List<ChangeSignal> changeSignals = new CopyOnWriteArrayList<>();
  private final DutyThread<DispatchEvent> dispatch;
  private final FatalFaultHandler faults;
  private final StageDuty stages;
  private final Optional<UsageDuty> usage;
  private final Optional<ScaleDuty> scaling;
  private final QuarantineDuty quarantine;
  private final QuarantineActions keeper;
  private final RowFollower routingFollower;
  private final DecodedRows<ServingEngine> engineRows;
  private final RowFollower engineFollower;
  private HttpListener readiness;
  private HttpListener peerListener;
  private HttpListener metricsListener;
  private SettingsWatch settingsWatch;
  private volatile EngineDirectory directory = EngineDirectory.empty();

  /**
   * A gateway that serves nothing yet; callers may already connect and wait to be accepted. A duty
   * that cannot go on ends the serving, not the process.
   */
  public GatewayServer(GatewaySettings settings, GatewayPlatform platform) throws Exception {
    this(settings, platform, CallerSocket.bind(settings.callers()), code -> {});
  }

  /**
   * A gateway that serves nothing yet.
   *
   * @param callerSocket the bound socket of {@link CallerSocket}; the gateway closes it
   * @param processEnd called at last when a duty cannot go on
   */
  public GatewayServer(
      GatewaySettings settings,
      GatewayPlatform platform,
      ServerSocketChannel callerSocket,
      ProcessExit processEnd)
      throws Exception {
    this.settings = settings;
    this.platform = platform;
    this.state =
        new GatewayState(
            platform.callers(), MAX_BODY_BYTES_IN_FLIGHT, settings.bounds().keyLifetime());
    this.faults = new FatalFaultHandler(state, log, processEnd, new EndWork());
    threads.setName("gateway");
    this.server = new Server(threads);
    DispatchParameters parameters = settings.dispatchParameters();
    Dispatcher dispatcher = new Dispatcher(parameters);
    this.notices = dispatcher.notices();
    this.engines = new EngineClient(platform.engines(), notices, log, threads);
    this.peerPorts = PeerPorts.bind(settings.peers());
    this.peers = new PeerExchange(peerPorts.datagrams(), this::tell);
    DutyContext duties =
        new DutyContext(newOrderLease(parameters), settings.nodeName(), this::tell, log);
    this.stages = new StageDuty(duties, new EngineOrders(engines));
    this.overlay =
        new RelayOverlay(
            settings.peerInfo(peerPorts.address()),
            settings.nodeName(),
            System.currentTimeMillis(),
            settings.seedPeers(),
            dispatcher.peerLoads(),
            System.nanoTime());
    this.survey =
        new CacheSurvey(
            engines,
            this::tell,
            engine -> overlay.pollsEngine(engine, System.nanoTime()),
            settings.firstStart());
    PeerMessenger messenger = new PeerMessenger(overlay, dispatcher, survey, peers::send);
    this.quarantine =
        new QuarantineDuty(platform.quarantine().create(engines.client()), this::tell, log);
    this.keeper =
        new QuarantineActions(dispatcher, new EngineProbe(engines, this::tell), quarantine, log);
    this.scaling = settings.duties().api().map(address -> newScaleDuty(duties, address));
    this.usage = settings.duties().usage().map(windows -> newUsageDuty(duties));
    DispatchDuty duty =
        new DispatchDuty(
            dispatcher,
            engines,
            log,
            messenger,
            survey,
            stages::offer,
            keeper,
            runCounter(dispatcher, messenger),
            newScaling(),
            state::stopping);
    this.dispatch = new DutyThread<>("dispatch", RING_SIZE, TICK, duty);
    this.callers = newCallersConnector(callerSocket);
    this.snapshots =
        new PeerSnapshots(engines.client(), overlay::askable, overlay.tables()::newest);
    this.routingFollower =
        newFollower(ROUTING, platform.routingFeed(), this::onRoutingRows, Duration.ZERO);
    state.setRouting(routingFollower);
    this.engineRows = new DecodedRows<>(ENGINES, platform.engineDecoder(), log);
    this.engineFollower =
        newFollower(
            ENGINES,
            platform.engineFeed(),
            this::onEngineRows,
            settings.bounds().drain().dividedBy(GATHER_PARTS));
  }

  private OrderLease newOrderLease(DispatchParameters parameters) {
    return new OrderLease(
        platform.orderLease().create(engines.client()),
        settings.nodeName(),
        parameters.stages(),
        System::nanoTime);
  }

  private UsageDuty newUsageDuty(DutyContext duties) {
    return new UsageDuty(
        duties,
        platform.usage().create(engines.client()),
        platform.usageApi().create(engines.client(), settings.duties().api().orElseThrow()));
  }

  private ScaleDuty newScaleDuty(DutyContext duties, NetworkAddress api) {
    return new ScaleDuty(
        duties,
        platform.standing().create(engines.client()),
        platform.scaleApi().create(engines.client(), api));
  }

  private Scaling newScaling() {
    return new Scaling(
        new ScaleControl(settings.scaleParameters()),
        this::engineListIsNew,
        wish -> scaling.ifPresent(duty -> duty.offer(wish)));
  }

  /** No engine is ordered on a view that may be older than the time to be in touch again. */
  private boolean engineListIsNew() {
    return engineFollower.stalenessNanos(System.nanoTime()) < settings.bounds().contact().toNanos();
  }

  private RunCounter runCounter(Dispatcher dispatcher, PeerMessenger messenger) {
    if (usage.isEmpty()) {
      return RunCounter.NONE;
    }
    return new UsageTally(
        settings.duties().usage().orElseThrow(),
        new WallClock(System::nanoTime, System::currentTimeMillis),
        settings.firstStart(),
        new UsageFleet(overlay, dispatcher, messenger, settings.nodeName()),
        usage.get()::offer);
  }

  private RowFollower newFollower(
      String table,
      GatewayPlatform.ClientFactory<RowFeed> feed,
      Consumer<FeedTracker> onRows,
      Duration maxBatchPause) {
    Duration change = settings.bounds().drain();
    ChangeSignal changeSignal = new ChangeSignal();
    changeSignals.add(changeSignal);
    return new RowFollower(
        table,
        new RowFollower.Sources(
            feed.create(engines.client()), snapshots.rows(table), others(table)),
        listener(onRows),
        log,
        followCounts,
        new RowFollower.Times(
            maxBatchPause, FollowBounds.of(change, settings.bounds().contact()), changeSignal));
  }

  private WatchedConnector newCallersConnector(ServerSocketChannel socket) throws IOException {
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setUriCompliance(UriCompliance.UNSAFE);
    http.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
    WatchedConnector connector = new WatchedConnector(server, new HttpConnectionFactory(http));
    connector.setHost(settings.callers().host());
    connector.open(socket);
    applyLimits(connector, RequestLimits.defaults());
    server.setHandler(new CallerRequestHandler(state, this::tell, log));
    return connector;
  }

  /** Holds for connections that are opened from now on. */
  private void applyLimits(WatchedConnector connector, RequestLimits limits) {
    http.setRequestHeaderSize(limits.maxHeaderBytes());
    connector.setIdleTimeout(limits.idleTimeout().toMillis());
    connector.setHeadTimeout(limits.headerTimeout());
  }

  /**
   * Starts everything. Callers are accepted once routes and engines are known; when they do not
   * become known soon, since the store does not answer, callers are accepted and told so. Callers
   * come first: every port takes processor time that those who wait would wait for.
   */
  public void start() throws Exception {
    overlay.tables().setOnNewerVersion(() -> changeSignals.forEach(ChangeSignal::signal));
    dispatch.start(DutyState.HELD_ALONE, faults);
    peers.start(faults);
    stages.start(faults);
    usage.ifPresent(duty -> duty.start(faults));
    scaling.ifPresent(duty -> duty.start(faults));
    routingFollower.start(faults);
    engineFollower.start(faults);
    server.start();
    state.awaitReady(LONGEST_WAIT_TO_ACCEPT);
    server.addConnector(callers);
    callers.start();
    readiness = ReadinessPort.open(settings.readiness(), platform.readinessPath(), state);
    peerListener = new HttpListener("peers", peerPorts.requests(), PEER_THREADS, snapshots);
    openMetrics();
    quarantine.start(faults);
    log.started(settings.nodeName());
  }

  private void openMetrics() throws Exception {
    metrics.gauge("in_flight", state::inFlight);
    metrics.gauge("routing_version", this::routingVersion);
    metrics.gauge("engines", this::engineCount);
    metrics.gauge("waiting_requests", log::waitingCount);
    metrics.gauge("waiting_bytes", log::waitingBytes);
    metrics.gauge("engines_leaving", this::leavingCount);
    metrics.gauge("engines_resting", this::restingCount);
    metrics.gauge("engines_limited", this::limitedCount);
    metrics.gauge("engine_limits_per_second", () -> (long) notices.limits().perSecond());
    metrics.gauge("engine_limits_sent", () -> notices.limits().sent(System.nanoTime()));
    metrics.gauge("caches_known", survey::answered);
    metrics.gauge("contents_in_quarantine", keeper::quarantined);
    metrics.gauge("stage_changes_abandoned", stages::abandoned);
    metrics.gauge("nodes", this::nodeCount);
    metrics.gauge("relay", () -> overlay.isRelay() ? 1 : 0);
    peers.addTo(metrics);
    followCounts.addTo(metrics);
    metrics.gauge("store_lost", () -> state.storeLost() ? 1 : 0);
    metrics.gauge("ready", () -> state.ready() ? 1 : 0);
    if (settings.metricsPort() > 0) {
      NetworkAddress address =
          new NetworkAddress(settings.readiness().host(), settings.metricsPort());
      openMetrics(address);
    }
  }

  /** A gateway whose figures cannot be served still serves its callers. */
  private void openMetrics(NetworkAddress address) {
    try {
      metricsListener = MetricsPort.open(address, metrics);
    } catch (Exception e) {
      log.metricsRefused(address, e);
    }
  }

  /** Whether routes and engines are known and no stop has begun. */
  public boolean ready() {
    return state.ready();
  }

  /** Version of the routes in force; 0 before any is known. */
  public long routingVersion() {
    RoutingImage image = state.routing();
    return image == null ? 0 : image.version();
  }

  /** Gateways that this one knows of, itself included. */
  public int nodeCount() {
    return overlay.nodeCount();
  }

  /** Engines that are listed. */
  public int engineCount() {
    return directory.all().size();
  }

  /** Listed engines that take nothing new, by their entries or by what they have said. */
  public long leavingCount() {
    EngineDirectory known = directory.withLeaving(notices::isLeaving);
    return known.all().stream().filter(ServingEngine::leaving).count();
  }

  /** Listed engines that want nothing from this node now. */
  public long restingCount() {
    long now = System.nanoTime();
    return directory.all().stream().filter(engine -> notices.rests(engine.id(), now)).count();
  }

  /** Listed engines that take only so many requests a second from all nodes together. */
  public long limitedCount() {
    return directory.all().stream().filter(engine -> notices.limits().limited(engine.id())).count();
  }

  /** Engines that have said which prompt parts they keep. */
  public int cachesKnown() {
    return survey.answered();
  }

  /** Stage changes that were given up before their order was sent. */
  public int stageChangesAbandoned() {
    return stages.abandoned();
  }

  /** Where other nodes tell their load and ask for tables. */
  public NetworkAddress peersAddress() {
    return peers.address();
  }

  /** Whether new requests are taken; not in the second part of a planned stop. */
  public boolean takesRequests() {
    return state.takesRequests();
  }

  /** Requests being served. */
  public int inFlight() {
    return state.inFlight();
  }

  /** Where callers connect, with the real port. */
  public NetworkAddress callersAddress() {
    return new NetworkAddress(callers.getHost(), callers.getLocalPort());
  }

  /**
   * Reads a settings file again on SIGHUP and when it changes. Log level, bounds and dispatch
   * constants take effect; names and addresses need a restart.
   */
  public void watchSettings(Path file) {
    settingsWatch = new SettingsWatch(file, this::onSettings, log);
    settingsWatch.start(faults);
  }

  private void onSettings(GatewaySettings changed) {
    LogSetup.setLevel(changed.log().level());
    tell(new DispatchEvent.ParametersChanged(changed.dispatchParameters()));
  }

  /** Events are never dropped: a full ring holds its producers up. */
  private void tell(DispatchEvent event) {
    while (!dispatch.offer(event)) {
      LockSupport.parkNanos(RING_FULL_PAUSE_NANOS);
    }
  }

  private RowFollower.Listener listener(Consumer<FeedTracker> onRows) {
    return new RowFollower.Listener() {
      @Override
      public void onRows(FeedTracker tracker) {
        onRows.accept(tracker);
      }

      @Override
      public void onReachable(boolean reachable) {
        state.setStoreLost(!reachable);
      }
    };
  }

  private RowFollower.PeerReports others(String table) {
    return new RowFollower.PeerReports() {
      @Override
      public long newestChange() {
        return overlay.tables().newest(table);
      }

      @Override
      public long sinceConfirmedNanos() {
        return overlay.tables().sinceConfirmedByOthers(table, System.nanoTime());
      }

      @Override
      public WatchOrder order() {
        return overlay.watchOrder();
      }

      @Override
      public void onConfirmed(long storeMillis) {
        overlay.tables().onConfirmed(table, storeMillis);
      }
    };
  }

  private void onRoutingRows(FeedTracker tracker) {
    snapshots.update(ROUTING, tracker);
    overlay.tables().onSeen(ROUTING, tracker.newestChange());
    for (FeedRow row : tracker.rows()) {
      if (platform.isRouting().test(row)) {
        takeRouting(row);
      }
    }
  }

  private void takeRouting(FeedRow row) {
    RoutingImage image;
    try {
      image = platform.routingDecoder().decode(row);
    } catch (MalformedMessageException e) {
      log.rowRefused("routing", row.key(), e.getMessage());
      return;
    }
    if (state.offerRouting(image)) {
      applyLimits(callers, image.limits());
      tell(new DispatchEvent.RoutingChanged(image));
      log.routingChanged(image);
    }
  }

  private void onEngineRows(FeedTracker tracker) {
    snapshots.update(ENGINES, tracker);
    overlay.tables().onSeen(ENGINES, tracker.newestChange());
    directory = EngineDirectory.of(tracker.position(), engineRows.read(tracker.rows()));
    tell(new DispatchEvent.DirectoryChanged(directory));
    state.setEnginesKnown();
    log.enginesChanged(directory);
  }

  /**
   * A planned stop: no longer ready, answers ask callers to leave; after the linger new requests
   * are refused as not run, and the process may end once every request has ended, or when the grace
   * is nearly over.
   */
  public void stopAsPlanned() throws InterruptedException {
    long begun = System.nanoTime();
    state.beginStop();
    closeDuties();
    log.stopping(state.inFlight());
    long lingerUntil = begun + settings.bounds().stopLinger().toNanos();
    long endBy = begun + settings.stopWithin().toNanos();
    while (System.nanoTime() - endBy < 0) {
      if (System.nanoTime() - lingerUntil >= 0) {
        refuseNewRequests();
        if (state.inFlight() == 0) {
          break;
        }
      }
      TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
    }
    log.stopped(state.inFlight());
  }

  /** What is left to do where a duty cannot go on. */
  private final class EndWork implements FatalFaultHandler.ShutdownSteps {

    @Override
    public void stopDuties() {
      dispatch.end();
      closeDuties();
    }

    /** The platform sees that the node is not ready, and answers that were begun come to an end. */
    @Override
    public void awaitAnswers() throws InterruptedException {
      long begun = System.nanoTime();
      long lingerUntil = begun + settings.bounds().stopLinger().toNanos();
      long endBy = begun + settings.stopWithin().toNanos();
      while (System.nanoTime() - endBy < 0
          && (state.inFlight() > 0 || System.nanoTime() - lingerUntil < 0)) {
        TimeUnit.MILLISECONDS.sleep(STOP_CHECK_MILLIS);
      }
    }
  }

  /** From now on this node orders and reports nothing for all. */
  private void closeDuties() {
    stages.close();
    usage.ifPresent(UsageDuty::close);
    scaling.ifPresent(ScaleDuty::close);
  }

  /** New connections are not accepted; a request on a kept one is refused as not run. */
  private void refuseNewRequests() {
    if (state.takesRequests()) {
      state.refuseRequests();
      callers.close();
    }
  }

  /** Ends everything at once; requests in flight are cut. For use inside one process. */
  @Override
  public void close() throws Exception {
    if (settingsWatch != null) {
      settingsWatch.close();
    }
    closeDuties();
    quarantine.close();
    routingFollower.close();
    engineFollower.close();
    server.stop();
    if (readiness != null) {
      readiness.close();
    }
    if (metricsListener != null) {
      metricsListener.close();
    }
    if (peerListener != null) {
      peerListener.close();
    }
    peers.close();
    engines.close();
    dispatch.close();
  }
}
