package org.fallturn.node.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.lease.LeadershipListener;
import org.fallturn.core.lease.LeaseParameters;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Four nodes' lease modules over real HTTP, one engine, and a table in memory. */
class LeaseModuleTest {

  private static final RegionName REGION = new RegionName("region");
  private static final ZoneName ZONE = new ZoneName("zone");
  private static final ModelName MODEL = new ModelName("model");
  private static final PoolId POOL = new PoolId(ZONE, MODEL, 0);
  private static final Duration GENEROUS = Duration.ofSeconds(60);
  private static final NetworkAddress ANY_PORT = new NetworkAddress("127.0.0.1", 0);
  private static final EngineCommand TO_PREFILL = new EngineCommand.ChangeRole(EngineRole.PREFILL);
  private static final EngineCommand TO_DECODE = new EngineCommand.ChangeRole(EngineRole.DECODE);
  private static final LeaseParameters FAST =
      LeaseParameters.of(Duration.ofMillis(1500), Duration.ofMillis(300), Duration.ofMillis(200));

  private final JsonCodec codec = new JsonCodec();
  private final InMemoryTable table = new InMemoryTable();
  private final Map<NodeId, LeaseModule> modules = new HashMap<>();
  private final Map<NodeId, Member> members = new HashMap<>();
  private final Map<NodeId, Recorder> recorders = new HashMap<>();
  private final List<AutoCloseable> resources = new ArrayList<>();
  private HttpClient jettyClient;
  private FakeEngine engine;

  @BeforeEach
  void start() throws Exception {
    jettyClient = new HttpClient();
    jettyClient.start();
    engine = new FakeEngine("engine-1", codec);
    resources.add(engine);
    Map<NodeId, HttpRouter> routers = new HashMap<>();
    for (int index = 1; index <= 4; index++) {
      NodeId node = new NodeId("node-" + index);
      HttpRouter router = new HttpRouter(codec);
      LeaseModule module = module(node);
      module.addRoutes(router);
      HttpListener listener = new HttpListener(node.value(), ANY_PORT, 8, router);
      resources.add(listener);
      NetworkAddress address = listener.address();
      members.put(node, new Member(node, REGION, ZONE, address, address, 0, Member.State.ALIVE, 0));
      modules.put(node, module);
    }
    modules.values().forEach(LeaseModule::start);
  }

  @AfterEach
  void stop() throws Exception {
    modules.values().forEach(LeaseModule::close);
    for (AutoCloseable resource : resources) {
      resource.close();
    }
    jettyClient.stop();
  }

  private LeaseModule module(NodeId node) {
    Recorder recorder = new Recorder();
    recorders.put(node, recorder);
    LeaseModule.Ports ports =
        new LeaseModule.Ports(
            node,
            table,
            () -> new MembershipView(node, members),
            this::machines,
            () -> List.of(new PoolEngines(POOL, List.of(engineMachine()))),
            new JsonHttpClient(jettyClient, codec),
            codec,
            new SimpleMeterRegistry());
    LeaseModuleSettings settings = LeaseModuleSettings.of(FAST, Duration.ofSeconds(5));
    return new LeaseModule(ports, settings, recorder);
  }

  private MachineList machines() {
    List<Machine> machines = new ArrayList<>();
    machines.add(engineMachine());
    for (Member member : members.values()) {
      machines.add(machine(member.node().value(), Machine.Kind.NODE, member.peerAddress()));
    }
    return new MachineList(1, machines);
  }

  private Machine engineMachine() {
    return machine(engine.id().value(), Machine.Kind.ENGINE, engine.address());
  }

  private static Machine machine(String id, Machine.Kind kind, NetworkAddress address) {
    return new Machine(
        id,
        kind,
        REGION,
        ZONE,
        address,
        Optional.empty(),
        Optional.of(MODEL),
        Optional.empty(),
        Machine.State.LIVE);
  }

  private NodeId awaitLeader(Epoch atLeast) {
    await()
        .atMost(GENEROUS)
        .until(() -> leader().filter(l -> epochOf(l).compareTo(atLeast) >= 0).isPresent());
    return leader().get();
  }

  private Optional<NodeId> leader() {
    return recorders.entrySet().stream()
        .filter(entry -> entry.getValue().leads())
        .map(Map.Entry::getKey)
        .filter(modules::containsKey)
        .findFirst();
  }

  private Epoch epochOf(NodeId node) {
    return recorders.get(node).epoch();
  }

  private boolean order(NodeId node, EngineCommand command) throws Exception {
    return modules
        .get(node)
        .order(POOL, engine.id(), command)
        .toCompletableFuture()
        .get(GENEROUS.toSeconds(), TimeUnit.SECONDS)
        .accepted();
  }

  @Test
  void leaderFencesTheEngineBeforeItsFirstOrder() throws Exception {
    NodeId leader = awaitLeader(new Epoch(1));
    assertThat(order(leader, TO_PREFILL)).isTrue();
    assertThat(engine.accepted().get(0).command()).isInstanceOf(EngineCommand.RaiseFence.class);
    assertThat(engine.role()).isEqualTo(EngineRole.PREFILL);
    for (NodeId other : modules.keySet()) {
      if (!other.equals(leader)) {
        assertThatThrownBy(() -> order(other, TO_DECODE))
            .hasCauseInstanceOf(FallturnException.class);
      }
    }
  }

  @Test
  void silentLeaderIsReplacedAtAHigherEpoch() {
    NodeId first = awaitLeader(new Epoch(1));
    modules.remove(first).close();
    members.remove(first);
    NodeId second = awaitLeader(new Epoch(2));
    assertThat(second).isNotEqualTo(first);
  }

  @Test
  void leavingLeaderHandsOver() {
    NodeId first = awaitLeader(new Epoch(1));
    assertThat(modules.get(first).leave(GENEROUS).toCompletableFuture()).succeedsWithin(GENEROUS);
    assertThat(awaitLeader(new Epoch(2))).isNotEqualTo(first);
  }

  @Test
  void lostAnswersOfWritesChangeNothing() throws Exception {
    table.loseAnswers(5);
    NodeId leader = awaitLeader(new Epoch(1));
    await().atMost(GENEROUS).until(() -> order(leader, TO_PREFILL));
    assertThat(epochOf(leader)).isEqualTo(new Epoch(1));
  }

  @Test
  void witnessesLetOrdersGoOnWhileTheTableIsDown() throws Exception {
    NodeId leader = awaitLeader(new Epoch(1));
    await().atMost(GENEROUS).until(() -> order(leader, TO_PREFILL));
    table.down(true);
    long leaseEnd = System.nanoTime() + 4 * FAST.duration().toNanos();
    await().atMost(GENEROUS).until(() -> System.nanoTime() - leaseEnd > 0);
    await().atMost(GENEROUS).ignoreExceptions().until(() -> order(leader, TO_DECODE));
    table.down(false);
    await().atMost(GENEROUS).ignoreExceptions().until(() -> order(leader, TO_PREFILL));
    assertThat(epochOf(leader)).isEqualTo(new Epoch(1));
  }

  /** Remembers whether its node leads. */
  private static final class Recorder implements LeadershipListener {
    private Epoch epoch = Epoch.NONE;
    private boolean leads;

    @Override
    public synchronized void onAcquired(PoolId pool, Epoch acquired, List<EngineState> engines) {
      epoch = acquired;
      leads = true;
    }

    @Override
    public void onEngineFenced(PoolId pool, Epoch fenced, EngineState state) {
      assertThat(state.fence().epoch()).isGreaterThanOrEqualTo(fenced);
    }

    @Override
    public synchronized void onLost(PoolId pool, Epoch lost) {
      leads = false;
    }

    synchronized boolean leads() {
      return leads;
    }

    synchronized Epoch epoch() {
      return epoch;
    }
  }
}
