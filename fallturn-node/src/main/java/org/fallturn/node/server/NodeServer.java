package org.fallturn.node.server;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.fallturn.core.admission.QuotaParameters;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.lease.LeaseParameters;
import org.fallturn.core.membership.Member;
import org.fallturn.core.placement.PlacementParameters;
import org.fallturn.core.placement.PoolDigest;
import org.fallturn.core.roles.PredictiveRolePolicy;
import org.fallturn.core.roles.RolePolicyParameters;
import org.fallturn.node.admission.AdmissionModule;
import org.fallturn.node.callers.CallersModule;
import org.fallturn.node.callers.CallersModuleSettings;
import org.fallturn.node.configuration.ConfigurationModule;
import org.fallturn.node.configuration.ConfigurationOptions;
import org.fallturn.node.configuration.LocalNode;
import org.fallturn.node.configuration.ZoneNodes;
import org.fallturn.node.gossip.GossipIdentity;
import org.fallturn.node.gossip.GossipMeters;
import org.fallturn.node.gossip.GossipModule;
import org.fallturn.node.gossip.GossipTransport;
import org.fallturn.node.gossip.UdpSocket;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.lease.LeaseModule;
import org.fallturn.node.lease.LeaseModuleSettings;
import org.fallturn.node.machines.MachineListModule;
import org.fallturn.node.machines.MachineListSource;
import org.fallturn.node.metrics.HealthRoutes;
import org.fallturn.node.metrics.NodeHealth;
import org.fallturn.node.operators.ChangesTable;
import org.fallturn.node.operators.FleetTables;
import org.fallturn.node.operators.OperatorsModule;
import org.fallturn.node.operators.PoolBoard;
import org.fallturn.node.operators.PoolTables;
import org.fallturn.node.operators.QuotaOwners;
import org.fallturn.node.operators.TableRegistry;
import org.fallturn.node.operators.UsageTable;
import org.fallturn.node.placement.ClientParts;
import org.fallturn.node.placement.DigestLeaderDirectory;
import org.fallturn.node.placement.LeaderParts;
import org.fallturn.node.placement.PlacementClient;
import org.fallturn.node.placement.PlacementModule;
import org.fallturn.node.settings.NodeSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One node: builds its parts, joins them through their ports and starts them in order. Construct
 * and start on one thread; {@link #close()} may be called from another. Parts are closed in the
 * reverse order of their start.
 */
public final class NodeServer implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);

  private final NodeSettings settings;
  private final GossipTransport.Opener gossipTransport;
  private final NodePlumbing plumbing;
  private final HttpRouter peerRouter;
  private final Deque<AutoCloseable> started = new ArrayDeque<>();
  private final NodeHealth health = new NodeHealth();
  private final PlannedStop plannedStop = new PlannedStop(health);
  private final HttpRouter operatorRouter;
  private final DigestBoard digests = new DigestBoard();
  private final PlacementParameters placementParameters = PlacementParameters.defaults();
  private MachineListModule machines;
  private ConfigurationModule configuration;
  private final PoolBoard poolBoard = new PoolBoard();
  private TableRegistry tables;
  private OperatorsModule door;
  private LeaseModule leases;
  private PlacementModule leader;
  private PlacementClient placement;
  private AdmissionModule admission;
  private CallersModule callers;
  private volatile CompletionStage<Void> leaving = CompletableFuture.completedFuture(null);
  private GossipModule gossip;
  private HttpListener peers;
  private HttpListener operators;

  /**
   * Builds the parts of a node; nothing listens yet.
   *
   * @throws Exception when the HTTP client cannot start
   */
  public NodeServer(NodeSettings settings) throws Exception {
    this(settings, UdpSocket::new);
  }

  /** The same with another transport of gossip. */
  public NodeServer(NodeSettings settings, GossipTransport.Opener gossipTransport)
      throws Exception {
    this.settings = settings;
    this.gossipTransport = gossipTransport;
    this.plumbing = new NodePlumbing(settings);
    started.push(plumbing);
    this.peerRouter = plumbing.newPeerRouter();
    this.operatorRouter = new HttpRouter(plumbing.codec());
    new HealthRoutes(health, plumbing.metrics()).addTo(operatorRouter);
  }

  /**
   * Binds all ports and starts all duties.
   *
   * @throws Exception when a port cannot be bound; what was started is closed again
   */
  public void start() throws Exception {
    try {
      startParts();
    } catch (Exception e) {
      close();
      throw e;
    }
    LOG.info("node: Started {} in zone {}.", plumbing.node(), plumbing.zone());
  }

  private void startParts() throws Exception {
    startListeners();
    startMembership();
    startConfiguration();
    startOperators();
    startLeadership();
    startCallers();
    registerPlannedStop();
  }

  private void registerPlannedStop() {
    plannedStop.add("callers", callers::beginDrain, () -> callers.inFlight() == 0);
    plannedStop.add("gossip", gossip::announceLeaving, () -> true);
    plannedStop.add(
        "leases", () -> leaving = leases.leave(settings.lease().duration()), this::hasLeft);
  }

  private void startListeners() throws Exception {
    peers =
        keep(
            new HttpListener(
                "peers", settings.peers().listen(), settings.peers().maxThreads(), peerRouter));
    operators =
        keep(
            new HttpListener(
                "operators",
                settings.operators().listen(),
                settings.operators().maxThreads(),
                plumbing.certificate(),
                operatorRouter));
  }

  private void startMembership() throws Exception {
    machines =
        new MachineListModule(
            plumbing.client(),
            new MachineListSource(
                settings.platform().machines(),
                settings.platform().machinesInterval(),
                settings.platform().callTimeout()),
            plumbing.node(),
            plumbing.zone(),
            () -> gossip.view());
    machines.addTo(peerRouter);
    GossipIdentity identity =
        new GossipIdentity(
            plumbing.node(),
            plumbing.region(),
            plumbing.zone(),
            settings
                .identity()
                .advertise(settings.gossip().advertised(), settings.gossip().listen()),
            advertisedPeerAddress());
    gossip =
        keep(
            new GossipModule(
                settings.gossip().parameters(),
                identity,
                settings.gossip().listen(),
                plumbing.clusterKey(),
                plumbing.codec(),
                gossipTransport));
    GossipMeters.register(plumbing.metrics(), gossip);
    gossip.addMachineListNotice(machines::onNewerVersion);
    gossip.addDigestListener(digests::add);
    machines.addListener(gossip::machineList);
    gossip.start();
    keep(machines);
    machines.start();
    health.require("machine list", () -> machines.get().version() != MachineListModule.NO_LIST);
  }

  private void startConfiguration() {
    ConfigurationOptions options =
        new ConfigurationOptions(
            settings.configuration().watchInterval(),
            settings.configuration().fetchTimeout(),
            settings.configuration().snapshotEvery());
    ZoneNodes nodes = new ZoneNodes(localNode(), gossip.viewSupplier(), machines);
    configuration =
        keep(
            new ConfigurationModule(
                options,
                nodes,
                plumbing.table(),
                plumbing.objectStore(),
                plumbing.client(),
                plumbing.codec()));
    configuration.addListener(image -> gossip.configurationVersion(image.version()));
    configuration.addRoutes(peerRouter);
    configuration.start();
    health.require("configuration", configuration::isLoaded);
  }

  private void startOperators() {
    tables = new TableRegistry(configuration);
    new FleetTables(localNode(), gossip.viewSupplier(), machines, configuration).register(tables);
    tables.register(new ChangesTable(configuration));
    door =
        keep(
            new OperatorsModule(
                configuration,
                new OperatorsModule.Door(
                    settings.operators().bootstrapKeyHash(),
                    (int) settings.operators().maxBody().bytes()),
                tables,
                new ZoneNodes(localNode(), gossip.viewSupplier(), machines),
                () -> digests.digests().values(),
                machines,
                plumbing.client(),
                plumbing.codec()));
    door.addRoutes(operatorRouter, peerRouter);
  }

  private LocalNode localNode() {
    return new LocalNode(plumbing.node(), plumbing.zone(), advertisedPeerAddress());
  }

  private void startLeadership() {
    LeaseModuleSettings leaseSettings =
        LeaseModuleSettings.of(
            LeaseParameters.of(
                settings.lease().duration(),
                settings.lease().renewInterval(),
                settings.lease().safetyMargin()),
            settings.lease().orderTimeout());
    LeadershipRelay relay = new LeadershipRelay();
    LeaseModule.Ports ports =
        new LeaseModule.Ports(
            plumbing.node(),
            plumbing.table(),
            gossip.viewSupplier(),
            machines,
            new RegionPools(plumbing.region(), machines, placementParameters),
            plumbing.client(),
            plumbing.codec(),
            plumbing.metrics());
    leases = keep(new LeaseModule(ports, leaseSettings, relay));
    gossip.addDigestListener(digest -> leases.onLeaderSeen(digest.pool(), digest.epoch()));
    leases.addRoutes(peerRouter);
    leader = keep(new PlacementModule(leaderParts()));
    relay.relayTo(leader);
    leader.addRoutes(peerRouter);
    leader.start();
    leases.start();
    new PoolTables(
            plumbing.node(),
            poolBoard,
            () -> digests.digests().values(),
            leases::authorities,
            configuration,
            System::nanoTime)
        .register(tables);
  }

  private boolean hasLeft() {
    return leaving.toCompletableFuture().isDone();
  }

  private LeaderParts leaderParts() {
    return new LeaderParts(
        plumbing.node(),
        this::advertisedPeerAddress,
        plumbing.client(),
        machines,
        configuration,
        leases,
        poolBoard.listenTo(pool -> new PredictiveRolePolicy(RolePolicyParameters.DEFAULT)),
        this::publish,
        placementParameters,
        settings.placement());
  }

  private void publish(PoolDigest digest) {
    digests.add(digest);
    gossip.publish(digest);
  }

  private void startCallers() throws Exception {
    placement =
        keep(
            new PlacementClient(
                new ClientParts(
                    plumbing.node(),
                    plumbing.region(),
                    plumbing.zone(),
                    plumbing.client(),
                    leader,
                    new DigestLeaderDirectory(digests::digests),
                    machines,
                    configuration,
                    placementParameters,
                    settings.placement(),
                    plumbing.metrics())));
    placement.start();
    startAdmission();
    callers =
        keep(
            new CallersModule(
                placement,
                admission,
                configuration,
                machines,
                plumbing.client(),
                plumbing.table(),
                CallersModuleSettings.of(plumbing.node(), plumbing.zone(), settings.callers()),
                plumbing.metrics()));
    callers.start(plumbing.certificate());
  }

  private void startAdmission() {
    QuotaParameters parameters =
        QuotaParameters.of(
            settings.admission().shareDuration(), settings.admission().shareInterval());
    admission =
        keep(
            new AdmissionModule(
                plumbing.node(),
                parameters,
                new AdmissionModule.Sources(gossip.viewSupplier(), machines, configuration),
                plumbing.client(),
                plumbing.metrics()));
    admission.addRoutes(peerRouter);
    admission.start();
    door.setQuotaOwners(
        new QuotaOwners(
            configuration,
            admission::quotaOwner,
            node -> gossip.view().member(node).map(Member::peerAddress)));
    tables.register(new UsageTable(plumbing.node(), admission::usage));
  }

  private NetworkAddress advertisedPeerAddress() {
    return settings.identity().advertise(settings.peers().advertised(), peers.address());
  }

  private <T extends AutoCloseable> T keep(T part) {
    started.push(part);
    return part;
  }

  /** This node's id. */
  public NodeId node() {
    return plumbing.node();
  }

  /** The accepted configuration on this node, once started. */
  public ConfigurationModule configuration() {
    return configuration;
  }

  /** Where other nodes connect, once started. */
  public NetworkAddress peersAddress() {
    return peers.address();
  }

  /** Where callers connect, once started. */
  public NetworkAddress callersAddress() {
    return callers.address();
  }

  /** Where operators connect, once started. */
  public NetworkAddress operatorsAddress() {
    return operators.address();
  }

  /** Every port this node listens on, by name, once started. */
  public Map<String, NetworkAddress> addresses() {
    Map<String, NetworkAddress> addresses = new LinkedHashMap<>();
    addresses.put("callers", callersAddress());
    addresses.put("operators", operatorsAddress());
    addresses.put("peers", peersAddress());
    addresses.put("gossip", gossip.listenAddress());
    return addresses;
  }

  /**
   * Stops without cutting a request: not ready, out of the membership, leases handed over, every
   * request ended; then closes.
   *
   * @return whether all this was done within the stop timeout of the settings
   */
  public boolean stopAsPlanned() throws InterruptedException {
    boolean idle = plannedStop.run(settings.identity().stopTimeout());
    callers.endConnections();
    close();
    LOG.info("node: Stopped.");
    return idle;
  }

  /** What a measurement looks at, once started. */
  public ControlParts controlParts() {
    return new ControlParts(
        gossip,
        configuration,
        leases,
        placement,
        plumbing.clientTraffic(),
        peers.traffic(),
        plumbing.metrics());
  }

  /** The node's metrics. */
  public PrometheusMeterRegistry metrics() {
    return plumbing.metrics();
  }

  @Override
  public void close() {
    while (!started.isEmpty()) {
      AutoCloseable part = started.pop();
      try {
        part.close();
      } catch (Exception e) {
        LOG.warn("node: {} did not close cleanly.", part.getClass().getSimpleName(), e);
      }
    }
  }
}
