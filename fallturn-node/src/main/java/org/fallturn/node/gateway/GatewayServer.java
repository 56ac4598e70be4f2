package org.fallturn.node.gateway;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.dispatch.EngineNotices;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.following.FollowBounds;
import org.fallturn.core.forwarding.ForwardedRequests;
import org.fallturn.core.peers.PeerInfo;
import org.fallturn.core.peers.RelayOverlay;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.FeedTracker;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.RequestLimits;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.scaling.InitialCounts;
import org.fallturn.core.scaling.ScaleControl;
import org.fallturn.core.stages.OrderLease;
import org.fallturn.core.usage.UsageWindows;
import org.fallturn.node.duty.DutyState;
import org.fallturn.node.duty.DutyThread;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.metrics.LogSetup;
import org.fallturn.node.settings.GatewaySettings;

/**
 * Gateway process: creates, starts and stops the listening ports, the duties and the followers of
 * the store's tables. One thread starts and stops it.
 */
public final class GatewayServer implements AutoCloseable {

  /** Lower than every era of the store, the first of which may be 0. */
  private static final long NO_ERA = -1;

  private static final int MAX_THREADS = 24;
  private static final int MIN_THREADS = 4;
  private static final int RING_SIZE = 4_096;

  /**
   * How often deadlines and the timeouts of attempts are checked. At 10 ms the ticks took most of
   * the dispatch thread's time on a node in a fleet of 95 nodes (docs/experiments/large.md).
   */
  private static final Duration TICK = Duration.ofMillis(25);

  /**
   * Changes of engine rows are gathered for at most the drain time divided by this, so that an
   * engine that starts to leave is known early in its drain.
   */
  private static final int GATHERS_PER_DRAIN = 4;

  private static final int OUTPUT_BUFFER_BYTES = 8 * 1024;
  private static final Duration MAX_WAIT_TO_ACCEPT = Duration.ofMillis(300);
  private static final String ROUTING = "routing";
  private static final String ENGINES = "engines";

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
  private final HttpClient control;
  private final PeerExchange peers;
  private final RelayOverlay overlay;
  private final CacheSurvey survey;
  private final PeerSnapshots snapshots;
  private final FollowCounts followCounts = new FollowCounts();
  private final ChangeSignal changeSignal = new ChangeSignal();
  private final DutyThread<DispatchEvent> dispatch;
  private final FatalFaultHandler faultHandler;
  private final StageDuty stages;
  private final Optional<UsageReporting> usage;
  private final Optional<ScaleDuty> scaling;
  private final QuarantineDuty quarantine;
  private final QuarantineActions quarantineActions;
  private final Forwarding forwarding;
  private final StopSequence stop;
  private final OrderLease lease;
  private final AtomicLong storeEra = new AtomicLong(NO_ERA);
  private final RowFollower routingFollower;
  private final DecodedRows<ServingEngine> engineRows;
  private final RowFollower engineFollower;
  private final DirectoryConfirmationDuty directoryConfirmation;
  private HttpListener readiness;
  private HttpListener metricsListener;
  private SettingsWatch settingsWatch;
  private volatile EngineDirectory directory = EngineDirectory.empty();

  /**
   * Creates a gateway that is not started; callers may already connect and wait to be accepted.
   * When a duty fails for good, the gateway stops serving but the process goes on.
   */
  public GatewayServer(GatewaySettings settings, GatewayPlatform platform) throws Exception {
    this(settings, platform, CallerSocket.bind(settings.callers()), code -> {});
  }

  /**
   * Creates a gateway that is not started.
   *
   * @param settings settings of the node
   * @param platform adapters to the platform
   * @param callerSocket socket bound by {@link CallerSocket}; the gateway closes it
   * @param processExit called last when a duty fails for good
   */
  public GatewayServer(
      GatewaySettings settings,
      GatewayPlatform platform,
      ServerSocketChannel callerSocket,
      ProcessExit processExit)
      throws Exception {
    this.settings = settings;
    this.platform = platform;
    BodyMemory bodies = new BodyMemory(settings.bounds().bodyMemory().bytes());
    this.state = new GatewayState(platform.callers(), bodies, settings.bounds().keyLifetime());
    this.faultHandler = new FatalFaultHandler(state, log, processExit, new FatalFaultShutdown());
    threads.setName("gateway");
    this.server = new Server(threads);
    Dispatcher dispatcher = new Dispatcher(settings.dispatchParameters());
    this.notices = dispatcher.notices();
    PeerPorts peerPorts = PeerPorts.bind(settings.peers());
    PeerInfo self = settings.peerInfo(peerPorts.address());
    ForwardedRequests forwarded = new ForwardedRequests(self.address());
    this.engines = newEngineClient(forwarded);
    this.control = PlainHttpClients.startForControl(threads);
    this.peers = new PeerExchange(peerPorts.datagrams(), this::post);
    this.lease = newOrderLease();
    DutyContext duties = new DutyContext(lease, settings.nodeName(), this::post, log);
    this.stages = new StageDuty(duties, new EngineOrders(engines));
    this.overlay =
        new RelayOverlay(
            self,
            settings.nodeName(),
            System.currentTimeMillis(),
            settings.seedPeers(),
            dispatcher.peerLoads(),
            System.nanoTime());
    Predicate<String> polls = engine -> overlay.pollsEngine(engine, System.nanoTime());
    this.survey = new CacheSurvey(engines, this::post, polls, settings.firstStart());
    PeerMessenger messenger = new PeerMessenger(overlay, dispatcher, survey, peers::send);
    this.quarantine = new QuarantineDuty(platform.quarantine().create(control), this::post, log);
    EngineProbe probe = new EngineProbe(engines, this::post);
    this.quarantineActions = new QuarantineActions(dispatcher, probe, quarantine, log);
    PathActions paths = new PathActions(dispatcher, probe, overlay::askable);
    this.scaling = settings.duties().api().map(address -> newScaleDuty(duties, address));
    this.usage = settings.duties().usage().map(windows -> newUsageReporting(windows, duties));
    DispatchDuty duty =
        new DispatchDuty(
            dispatcher,
            engines,
            log,
            messenger,
            survey,
            stages::offer,
            quarantineActions,
            paths,
            runCounter(dispatcher, messenger),
            newScaling(),
            state::confirmDirectory,
            state::stopping);
    this.dispatch =
        new DutyThread<>("dispatch", RING_SIZE, TICK, duty).measuredBy(metrics.dispatch());
    this.callers = newCallersConnector(callerSocket);
    this.snapshots = new PeerSnapshots(control, overlay::askable, overlay.tables()::newest);
    this.forwarding = new Forwarding(peerPorts, newForwarder(paths), forwarded, snapshots);
    this.stop = newStopSequence();
    this.routingFollower =
        newFollower(ROUTING, platform.routingFeed(), this::onRoutingRows, Duration.ZERO);
    this.engineRows = new DecodedRows<>(ENGINES, platform.engineDecoder(), log);
    this.engineFollower =
        newFollower(
            ENGINES,
            platform.engineFeed(),
            this::onEngineRows,
            settings.bounds().drain().dividedBy(GATHERS_PER_DRAIN));
    this.directoryConfirmation = newDirectoryConfirmation();
    state.setFollower(routingFollower, directoryConfirmation::request);
    dispatcher.resumedStreams().tracker().setContact(directoryConfirmation);
  }

  private EngineClient newEngineClient(ForwardedRequests forwarded) throws Exception {
    EngineAnswerMemory answers = new EngineAnswerMemory(settings.bounds().answerMemory().bytes());
    metrics.gauge("answer_bytes", answers::reserved);
    return new EngineClient(platform.engines(), notices, forwarded, answers, log, threads);
  }

  private StopSequence newStopSequence() {
    return new StopSequence(
        state,
        forwarding,
        this::refuseNewRequests,
        settings.bounds().stopLinger(),
        settings.stopWithin());
  }

  private DirectoryConfirmationDuty newDirectoryConfirmation() {
    return new DirectoryConfirmationDuty(
        platform.engineFeed().create(control),
        engineFollower,
        change -> overlay.tables().onSeen(ENGINES, change),
        begunNanos -> post(new DispatchEvent.DirectoryConfirmed(begunNanos)),
        followCounts);
  }

  private EngineForwarder newForwarder(PathActions paths) {
    ForwardingLeaseDuty leases = new ForwardingLeaseDuty(control);
    return new EngineForwarder(
        state, engines, id -> directory.find(id), notices, paths, leases, log);
  }

  private OrderLease newOrderLease() {
    return new OrderLease(
        platform.orderLease().create(control),
        settings.nodeName(),
        settings.dispatchParameters().stages(),
        settings.firstStart(),
        System::nanoTime);
  }

  private UsageReporting newUsageReporting(UsageWindows windows, DutyContext duties) {
    return new UsageReporting(settings, windows, platform, control, duties);
  }

  private ScaleDuty newScaleDuty(DutyContext duties, NetworkAddress api) {
    return new ScaleDuty(
        duties,
        new InitialCounts(platform.initialCounts().create(control)),
        platform.scaleApi().create(control, api));
  }

  private Scaling newScaling() {
    return new Scaling(
        new ScaleControl(settings.scaleParameters()),
        this::engineListIsFresh,
        action -> scaling.ifPresent(duty -> duty.offer(action)));
  }

  /** Whether the engine list was confirmed within the contact bound; if not, none is ordered. */
  private boolean engineListIsFresh() {
    return engineFollower.stalenessNanos(System.nanoTime()) < settings.bounds().contact().toNanos();
  }

  private RunCounter runCounter(Dispatcher dispatcher, PeerMessenger messenger) {
    UsageFleet fleet = new UsageFleet(overlay, dispatcher, messenger, settings.nodeName());
    return usage.map(reporting -> reporting.newTally(fleet)).orElse(RunCounter.NONE);
  }

  private RowFollower newFollower(
      String table,
      GatewayPlatform.ClientFactory<RowFeed> feed,
      Consumer<FeedTracker> onRows,
      Duration maxGather) {
    FollowBounds bounds = FollowBounds.of(settings.bounds().drain(), settings.bounds().contact());
    return new RowFollower(
        table,
        new RowFollower.Sources(
            feed.create(control), snapshots.rows(table), new TableReports(overlay, table)),
        listener(onRows),
        log,
        followCounts,
        new RowFollower.Times(maxGather, bounds, changeSignal));
  }

  private WatchedConnector newCallersConnector(ServerSocketChannel socket) throws IOException {
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setUriCompliance(UriCompliance.UNSAFE);
    http.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
    WatchedConnector connector =
        new WatchedConnector(server, new HttpConnectionFactory(http), log::connectionCut);
    connector.setHost(settings.callers().host());
    connector.open(socket);
    applyLimits(connector, RequestLimits.defaults());
    server.setHandler(new CallerRequestHandler(state, this::post, log));
    server.setErrorHandler(new FailedHeadHandler(state.callerProtocol(), log));
    return connector;
  }

  /** Applies the limits to connections that are opened from now on. */
  private void applyLimits(WatchedConnector connector, RequestLimits limits) {
    http.setRequestHeaderSize(limits.maxHeaderBytes());
    connector.setIdleTimeout(limits.idleTimeout().toMillis());
    connector.setHeadTimeout(limits.headerTimeout());
  }

  /**
   * Starts everything. Callers are accepted when routes and engines are known or, if the store does
   * not answer soon, anyway; their requests are then refused with that reason. The callers' port
   * opens before the other ports: opening each takes processor time while callers wait.
   */
  public void start() throws Exception {
    overlay.tables().setOnNewerVersion(changeSignal::signal);
    dispatch.start(DutyState.HELD_ALONE, faultHandler);
    peers.start(faultHandler);
    stages.start(faultHandler);
    usage.ifPresent(duty -> duty.start(faultHandler));
    scaling.ifPresent(duty -> duty.start(faultHandler));
    routingFollower.start(faultHandler);
    engineFollower.start(faultHandler);
    directoryConfirmation.start(faultHandler);
    server.start();
    state.awaitReady(MAX_WAIT_TO_ACCEPT);
    server.addConnector(callers);
    callers.start();
    readiness = ReadinessPort.open(settings.readiness(), platform.readinessPath(), state);
    forwarding.start(faultHandler);
    openMetrics();
    quarantine.start(faultHandler);
    log.started(settings.nodeName());
    stop.onStarted();
  }

  private void openMetrics() throws Exception {
    metrics.gauge("in_flight", state::inFlight);
    metrics.gauge("body_bytes", state.bodies()::reserved);
    metrics.gauge("caller_connections", () -> callerConnections().size());
    metrics.gauge("routing_version", this::routingVersion);
    metrics.gauge("store_era", overlay.tables()::era);
    metrics.gauge("routing_position", () -> routingFollower.position().version());
    metrics.gauge("engines", this::engineCount);
    metrics.gauge("engines_position", () -> engineFollower.position().version());
    metrics.gauge("waiting_requests", log::waitingCount);
    metrics.gauge("waiting_bytes", log::waitingBytes);
    metrics.gauge("engines_leaving", this::leavingCount);
    metrics.gauge("engines_resting", this::restingCount);
    metrics.gauge("engines_limited", this::limitedCount);
    metrics.gauge("engine_limits_per_second", () -> (long) notices.limits().perSecond());
    metrics.gauge("engine_limits_sent", () -> notices.limits().sent(System.nanoTime()));
    metrics.gauge("caches_known", survey::answered);
    metrics.gauge("contents_in_quarantine", quarantineActions::quarantinedContents);
    metrics.gauge("prompt_parts_in_quarantine", quarantineActions::quarantinedParts);
    metrics.gauge("stage_changes_abandoned", stages::abandoned);
    metrics.gauge("nodes", this::nodeCount);
    metrics.gauge("relay", () -> overlay.isRelay() ? 1 : 0);
    peers.addTo(metrics);
    followCounts.addTo(metrics);
    metrics.gauge("store_lost", () -> state.storeLost() ? 1 : 0);
    metrics.gauge("ready", () -> state.ready() ? 1 : 0);
    if (settings.metricsPort() > 0) {
      openMetrics(new NetworkAddress(settings.readiness().host(), settings.metricsPort()));
    }
  }

  /** Opens the metrics port; logs a failure, since the gateway can serve callers without it. */
  private void openMetrics(NetworkAddress address) {
    try {
      metricsListener = MetricsPort.open(address, metrics);
    } catch (Exception e) {
      log.metricsRefused(address, e);
    }
  }

  /** Whether routes and engines are known and no stop has started. */
  public boolean ready() {
    return state.ready();
  }

  /** Version of the routes in force; 0 while none are known. */
  public long routingVersion() {
    RoutingImage image = state.routing();
    return image == null ? 0 : image.version();
  }

  /** Number of gateways that this one knows of, itself included. */
  public int nodeCount() {
    return overlay.nodeCount();
  }

  /** Number of listed engines. */
  public int engineCount() {
    return directory.all().size();
  }

  /** Number of listed engines that take no new requests, by their entries or their notices. */
  public long leavingCount() {
    EngineDirectory known = directory.withLeaving(notices::isLeaving);
    return known.all().stream().filter(ServingEngine::leaving).count();
  }

  /** Number of listed engines that have asked this node to send nothing for now. */
  public long restingCount() {
    long now = System.nanoTime();
    return directory.all().stream().filter(engine -> notices.rests(engine.id(), now)).count();
  }

  /** Number of listed engines that limit the requests a second from all nodes together. */
  public long limitedCount() {
    return directory.all().stream().filter(engine -> notices.limits().limited(engine.id())).count();
  }

  /** Number of engines whose list of cached prompt parts is known. */
  public int cachesKnown() {
    return survey.answered();
  }

  /** Number of stage changes that were abandoned before their order was sent. */
  public int stageChangesAbandoned() {
    return stages.abandoned();
  }

  /** Address to which other nodes send messages and requests for tables. */
  public NetworkAddress peersAddress() {
    return peers.address();
  }

  /** Whether new requests are accepted; false in the second phase of a planned stop. */
  public boolean takesRequests() {
    return state.takesRequests();
  }

  /** Number of requests in flight. */
  public int inFlight() {
    return state.inFlight();
  }

  /** Address at which callers connect, with the actual port. */
  public NetworkAddress callersAddress() {
    return new NetworkAddress(callers.getHost(), callers.getLocalPort());
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  /** Open connections of callers. */
  Collection<EndPoint> callerConnections() {
    return callers.getConnectedEndPoints();
  }

  /**
   * Reloads a settings file on SIGHUP and when it changes. Log level, bounds and dispatch constants
   * take effect; names and addresses need a restart.
   */
  public void watchSettings(Path file) {
    settingsWatch = new SettingsWatch(file, this::onSettings, log);
    settingsWatch.start(faultHandler);
  }

  private void onSettings(GatewaySettings changed) {
    LogSetup.setLevel(changed.log().level());
    post(new DispatchEvent.ParametersChanged(changed.dispatchParameters()));
  }

  /** Posts an event to the dispatch duty. Blocks while its ring is full: no event is dropped. */
  private void post(DispatchEvent event) {
    dispatch.put(event);
  }

  /** Followers of both tables call, each with the era of its rows. */
  private void onStoreEra(long era) {
    lease.onEra(era);
    long before = storeEra.getAndAccumulate(era, Math::max);
    if (before != NO_ERA && era > before) {
      post(new DispatchEvent.StoreRestored());
    }
  }

  private RowFollower.Listener listener(Consumer<FeedTracker> onRows) {
    return new RowFollower.Listener() {
      @Override
      public void onRows(FeedTracker tracker) {
        onStoreEra(tracker.position().era());
        onRows.accept(tracker);
      }

      @Override
      public void onReachable(boolean reachable) {
        state.setStoreLost(!reachable);
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
    Optional<RoutingImage> decoded =
        DecodedRows.tryDecode(ROUTING, platform.routingDecoder(), row, log);
    if (decoded.filter(state::offerRouting).isPresent()) {
      RoutingImage image = decoded.get();
      applyLimits(callers, image.limits());
      post(new DispatchEvent.RoutingChanged(image));
      log.routingChanged(image);
    }
  }

  private void onEngineRows(FeedTracker tracker) {
    snapshots.update(ENGINES, tracker);
    overlay.tables().onSeen(ENGINES, tracker.newestChange());
    directory = EngineDirectory.of(tracker.position().version(), engineRows.read(tracker.rows()));
    post(new DispatchEvent.DirectoryChanged(directory, tracker.takeMissedRows()));
    state.setEnginesKnown();
    log.enginesChanged(directory);
  }

  /**
   * Performs a planned stop. The node is no longer ready, and its answers ask callers to close
   * their connections. After the linger, new requests are refused as not run. Shortly before the
   * grace period is over, the requests that are left are answered. Returns when every request has
   * ended, or when the process has to end.
   */
  public void stopAsPlanned() throws InterruptedException {
    StopTimes times = stop.begin();
    closeDuties();
    log.stopping(state.inFlight());
    stop.finish(times);
    log.stopped(state.inFlight());
  }

  /** Stop that follows when a duty fails for good. */
  private final class FatalFaultShutdown implements FatalFaultHandler.ShutdownSteps {

    @Override
    public void stopDuties() {
      dispatch.end();
      closeDuties();
    }

    @Override
    public void awaitAnswers() throws InterruptedException {
      stop.awaitAnswers();
    }
  }

  /** Closes the duties that give orders and report usage on behalf of the fleet. */
  private void closeDuties() {
    stages.close();
    usage.ifPresent(UsageReporting::close);
    scaling.ifPresent(ScaleDuty::close);
  }

  /** Stops accepting connections; requests on open connections are refused as not run. */
  private void refuseNewRequests() {
    if (state.takesRequests()) {
      state.refuseRequests();
      callers.close();
    }
  }

  /** Closes everything at once and cuts requests in flight; for gateways within one process. */
  @Override
  public void close() throws Exception {
    if (settingsWatch != null) {
      settingsWatch.close();
    }
    closeDuties();
    quarantine.close();
    routingFollower.close();
    engineFollower.close();
    directoryConfirmation.close();
    server.stop();
    if (readiness != null) {
      readiness.close();
    }
    if (metricsListener != null) {
      metricsListener.close();
    }
    forwarding.close();
    peers.close();
    control.stop();
    engines.close();
    dispatch.close();
  }
}
