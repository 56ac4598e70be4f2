package org.fallturn.node.lease;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.lease.Authority;
import org.fallturn.core.lease.CandidateSelection;
import org.fallturn.core.lease.ConsentAnswer;
import org.fallturn.core.lease.ConsentRequest;
import org.fallturn.core.lease.EngineOrderService;
import org.fallturn.core.lease.LeadershipListener;
import org.fallturn.core.lease.LeaseAction;
import org.fallturn.core.lease.LeaseManager;
import org.fallturn.core.lease.PromiseAnswer;
import org.fallturn.core.lease.PromiseRequest;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.core.port.table.TableService;
import org.fallturn.node.duty.DutyThread;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;

/**
 * Leadership of pools on one node: leases, fences and orders. Four duty threads joined by bounded
 * rings: lease decisions, table reads, table writes, engine orders. Thread-safe once started.
 */
public final class LeaseModule implements EngineOrderService, AutoCloseable {

  private static final String PROMISE_PATH = "/peer/lease/promise";
  private static final String CONSENT_PATH = "/peer/lease/consent";
  private static final int MAX_MESSAGE_BYTES = 16 * 1024;
  private static final int RING_SIZE = 1024;
  private static final Duration TICK = Duration.ofMillis(50);
  private static final long RING_WAIT_NANOS = Duration.ofMillis(1).toNanos();

  private final LeaseModuleSettings settings;
  private final JsonHttpClient client;
  private final AuthorityBoard board = new AuthorityBoard();
  private final DutyThread<LeaseEvent> leaseDuty;
  private final DutyThread<TableJob> readDuty;
  private final DutyThread<TableJob> writeDuty;
  private final DutyThread<OrderEvent> orderDuty;
  private volatile boolean closed;

  /** The ports that the module needs. */
  public record Ports(
      NodeId node,
      TableService table,
      Supplier<MembershipView> membership,
      Supplier<MachineList> machines,
      Supplier<List<PoolEngines>> pools,
      JsonHttpClient client,
      JsonCodec codec,
      MeterRegistry metrics) {}

  /**
   * Builds the module; nothing runs yet.
   *
   * @param ports what it needs; the pools are those of this node's region
   * @param listener told of leaderships, on the lease duty's thread
   */
  public LeaseModule(Ports ports, LeaseModuleSettings settings, LeadershipListener listener) {
    this.settings = settings;
    this.client = ports.client();
    LeaseRowCodec rowCodec = new LeaseRowCodec(ports.codec());
    LeaseManager manager =
        new LeaseManager(
            ports.node(),
            settings.parameters(),
            RandomGenerator.getDefault(),
            () -> UUID.randomUUID().toString());
    CandidateSource candidates =
        new CandidateSource(
            new CandidateSelection(settings.parameters()),
            ports.membership(),
            ports.machines(),
            ports.pools());
    leaseDuty =
        new DutyThread<>(
            "lease",
            RING_SIZE,
            TICK,
            new LeaseDuty(manager, candidates, board, this::perform, listener));
    LeaseTableDuty tableDuty =
        new LeaseTableDuty(
            ports.table(),
            rowCodec,
            this::toLease,
            demands -> toOrders(new OrderEvent.DemandsScanned(demands)));
    readDuty = new DutyThread<>("lease-read", RING_SIZE, Duration.ofSeconds(1), tableDuty);
    writeDuty =
        new DutyThread<>(
            "lease-write",
            RING_SIZE,
            Duration.ofSeconds(1),
            new LeaseTableDuty(ports.table(), rowCodec, this::toLease, demands -> {}));
    orderDuty =
        new DutyThread<>(
            "engine-orders",
            RING_SIZE,
            TICK,
            new EngineOrderDuty(
                board,
                new EngineOrderClient(client, settings.orderTimeout()),
                ports.pools(),
                settings,
                this::toOrders,
                this::toLease,
                () -> readDuty().offer(new TableJob.ScanDemands()),
                new OrderCounters(ports.metrics())));
    registerGauges(ports.metrics());
  }

  private DutyThread<TableJob> readDuty() {
    return readDuty;
  }

  private void registerGauges(MeterRegistry metrics) {
    Gauge.builder("fallturn.leases.held", board, held -> held.authorities().size())
        .description("Pools whose lease this node holds in the table.")
        .register(metrics);
    Gauge.builder("fallturn.leases.valid", board, LeaseModule::countValid)
        .description("Pools whose engines this node may order now.")
        .register(metrics);
    Gauge.builder("fallturn.leases.extended", board, LeaseModule::countExtended)
        .description("Pools whose lease has run out in the table and is extended by witnesses.")
        .register(metrics);
  }

  private static double countExtended(AuthorityBoard board) {
    long now = System.nanoTime();
    return board.authorities().values().stream()
        .filter(authority -> authority.isExtended(now))
        .count();
  }

  private static double countValid(AuthorityBoard board) {
    long now = System.nanoTime();
    return board.authorities().values().stream()
        .filter(authority -> authority.permits(now))
        .count();
  }

  /** Adds the peer routes; called before the peer port is bound. */
  public void addRoutes(HttpRouter peerRouter) {
    peerRouter.message(
        PROMISE_PATH, PromiseRequest.class, MAX_MESSAGE_BYTES, this::onPromiseRequest);
    peerRouter.message(
        CONSENT_PATH, ConsentRequest.class, MAX_MESSAGE_BYTES, this::onConsentRequest);
  }

  /** Starts the duties. */
  public LeaseModule start() {
    readDuty.start();
    writeDuty.start();
    orderDuty.start();
    leaseDuty.start();
    return this;
  }

  @Override
  public CompletionStage<OrderAnswer> order(PoolId pool, EngineId engine, EngineCommand command) {
    CompletableFuture<OrderAnswer> answer = new CompletableFuture<>();
    if (closed || !orderDuty.offer(new OrderEvent.Submit(pool, engine, command, answer))) {
      answer.completeExceptionally(
          new FallturnException(ErrorKind.NO_CAPACITY, "the order duty is overloaded"));
    }
    return answer;
  }

  @Override
  public void onRestartSeen(PoolId pool, EngineState state) {
    Authority authority = board.authorities().get(pool);
    if (authority != null) {
      orderDuty.offer(new OrderEvent.StateRead(pool, authority.epoch(), state.engine(), state));
    }
  }

  /** The rights to order that this node has now, for the operators' view. */
  public Map<PoolId, Authority> authorities() {
    return board.authorities();
  }

  /** Another node was heard to lead a pool with this epoch. */
  public void onLeaderSeen(PoolId pool, Epoch epoch) {
    Authority own = board.authorities().get(pool);
    if (own != null && epoch.compareTo(own.epoch()) > 0) {
      leaseDuty.offer(new LeaseEvent.Superseded(pool, epoch));
    }
  }

  /**
   * Gives all leases up, so that others need not wait them out. The stage completes when the table
   * has the releases, or when the bound has passed.
   */
  public CompletionStage<Void> leave(Duration bound) {
    CompletableFuture<Void> released = new CompletableFuture<>();
    toLease(new LeaseEvent.Leave(released));
    return released.completeOnTimeout(null, bound.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    closed = true;
    leaseDuty.close();
    orderDuty.close();
    writeDuty.close();
    readDuty.close();
  }

  private CompletionStage<PromiseAnswer> onPromiseRequest(PromiseRequest request)
      throws FallturnException {
    CompletableFuture<PromiseAnswer> answer = new CompletableFuture<>();
    offerPeerEvent(new LeaseEvent.PromiseAsked(request, answer));
    return answer;
  }

  private CompletionStage<ConsentAnswer> onConsentRequest(ConsentRequest request)
      throws FallturnException {
    CompletableFuture<ConsentAnswer> answer = new CompletableFuture<>();
    offerPeerEvent(new LeaseEvent.ConsentAsked(request, answer));
    return answer;
  }

  private void offerPeerEvent(LeaseEvent event) throws FallturnException {
    if (closed || !leaseDuty.offer(event)) {
      throw new FallturnException(ErrorKind.STOPPING, "the lease duty takes no questions");
    }
  }

  // Actions of the lease duty; none of them may block.

  private void perform(LeaseAction action) {
    if (action instanceof LeaseAction.ReadRows read) {
      if (!readDuty.offer(new TableJob.Read(read))) {
        leaseDuty.offer(new LeaseEvent.ReadFailed());
      }
    } else if (action instanceof LeaseAction.WriteRows write) {
      if (!writeDuty.offer(new TableJob.Write(write))) {
        leaseDuty.offer(new LeaseEvent.NoEffect(write.batch()));
      }
    } else if (action instanceof LeaseAction.AskPromise ask) {
      askPromise(ask);
    } else if (action instanceof LeaseAction.AskConsent ask) {
      askConsent(ask);
    } else {
      // A lost event only delays: the order duty follows the rights to order on each tick too.
      orderDuty.offer(new OrderEvent.LeadershipChanged());
    }
  }

  private void askPromise(LeaseAction.AskPromise ask) {
    client
        .post(
            ask.address(), PROMISE_PATH, ask.request(), PromiseAnswer.class, settings.peerTimeout())
        .thenAccept(
            answer ->
                leaseDuty.offer(
                    new LeaseEvent.PromiseAnswered(ask.request(), answer, ask.askedNanos())));
  }

  private void askConsent(LeaseAction.AskConsent ask) {
    client
        .post(
            ask.address(), CONSENT_PATH, ask.request(), ConsentAnswer.class, settings.peerTimeout())
        .thenAccept(
            answer -> leaseDuty.offer(new LeaseEvent.ConsentAnswered(ask.request(), answer)));
  }

  // Hand-over between duties that must not lose the event.

  private void toLease(LeaseEvent event) {
    while (!leaseDuty.offer(event) && !closed) {
      LockSupport.parkNanos(RING_WAIT_NANOS);
    }
  }

  private void toOrders(OrderEvent event) {
    while (!orderDuty.offer(event) && !closed) {
      LockSupport.parkNanos(RING_WAIT_NANOS);
    }
  }
}
