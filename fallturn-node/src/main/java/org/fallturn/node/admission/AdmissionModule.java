package org.fallturn.node.admission;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fallturn.core.admission.AdmissionControl;
import org.fallturn.core.admission.AdmissionTicket;
import org.fallturn.core.admission.QuotaAction;
import org.fallturn.core.admission.QuotaAction.AskHoldings;
import org.fallturn.core.admission.QuotaAction.AskShares;
import org.fallturn.core.admission.QuotaHolder;
import org.fallturn.core.admission.QuotaKey;
import org.fallturn.core.admission.QuotaMessages.Holdings;
import org.fallturn.core.admission.QuotaMessages.HoldingsRequest;
import org.fallturn.core.admission.QuotaMessages.ShareGrants;
import org.fallturn.core.admission.QuotaMessages.ShareRequests;
import org.fallturn.core.admission.QuotaNode;
import org.fallturn.core.admission.QuotaParameters;
import org.fallturn.core.admission.QuotaUsage;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.duty.DutyHandler;
import org.fallturn.node.duty.DutyThread;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;

/**
 * Admits requests within their tenants' limits and takes part in leasing shares of these limits.
 * The state is one {@link QuotaNode}, guarded by its own monitor, which is held for microseconds
 * and never while anything is sent. Any thread may call.
 */
public final class AdmissionModule implements AdmissionControl, AutoCloseable {

  private static final String SHARES_PATH = "/peer/quota/shares";
  private static final String HOLDINGS_PATH = "/peer/quota/holdings";
  private static final int MAX_MESSAGE_BYTES = 1 << 20;
  private static final int RING_SIZE = 1024;
  private static final Duration TICK = Duration.ofMillis(10);
  private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);
  private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final int MAX_WAITING = 2048;

  private final NodeId self;
  private final QuotaParameters parameters;
  private final Sources sources;
  private final JsonHttpClient client;
  private final AdmissionMetrics metrics;
  private final QuotaNode node;
  private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
  private final DutyThread<Runnable> duty;
  private ConfigurationImage image;
  private long lastIntervalNanos;

  /** What the module looks at: who is there, and what is configured. */
  public record Sources(
      Supplier<MembershipView> membership,
      Supplier<MachineList> machines,
      Supplier<ConfigurationImage> configuration) {}

  /** A module that admits by local fractions only until it is started. */
  public AdmissionModule(
      NodeId self,
      QuotaParameters parameters,
      Sources sources,
      JsonHttpClient client,
      MeterRegistry registry) {
    this.self = self;
    this.parameters = parameters;
    this.sources = sources;
    this.client = client;
    this.metrics = new AdmissionMetrics(registry);
    this.node = new QuotaNode(self, parameters, System.nanoTime());
    this.duty = new DutyThread<>("admission", RING_SIZE, TICK, new Handler());
  }

  /** What is given out of the limits of the tenants whose quota this node owns. */
  public List<QuotaUsage> usage() {
    synchronized (node) {
      return node.usage();
    }
  }

  /** The node that owns a tenant's quota, as this one sees it. */
  public NodeId quotaOwner(TenantName tenant) {
    synchronized (node) {
      return node.owner(tenant);
    }
  }

  /** Adds the peer routes. */
  public void addRoutes(HttpRouter peers) {
    peers.message(SHARES_PATH, ShareRequests.class, MAX_MESSAGE_BYTES, this::onShareRequests);
    peers.message(HOLDINGS_PATH, HoldingsRequest.class, MAX_MESSAGE_BYTES, this::onHoldings);
  }

  /** Starts renewing shares. */
  public void start() {
    synchronized (node) {
      refresh();
    }
    lastIntervalNanos = System.nanoTime() - parameters.shareInterval().toNanos();
    duty.start();
  }

  @Override
  public void close() {
    duty.close();
  }

  @Override
  public AdmissionTicket admit(TenantName tenant, ServiceName service, long tokens)
      throws FallturnException {
    List<QuotaKey> keys = List.of(QuotaKey.of(tenant), QuotaKey.of(tenant, service));
    Optional<QuotaHolder.Refusal> refusal = tryAdmit(keys, tokens, true);
    if (refusal.isEmpty()) {
      return new QuotaTicket(this, keys, tokens);
    }
    askNow(keys);
    throw exception(refusal.get());
  }

  @Override
  public CompletionStage<AdmissionTicket> admitSoon(
      TenantName tenant, ServiceName service, long tokens) {
    List<QuotaKey> keys = List.of(QuotaKey.of(tenant), QuotaKey.of(tenant, service));
    Optional<QuotaHolder.Refusal> refusal = tryAdmit(keys, tokens, true);
    if (refusal.isEmpty()) {
      return CompletableFuture.completedFuture(new QuotaTicket(this, keys, tokens));
    }
    askNow(keys);
    CompletableFuture<AdmissionTicket> verdict = new CompletableFuture<>();
    WaitingRequest request =
        new WaitingRequest(keys, tokens, System.nanoTime() + MAX_WAIT_NANOS, verdict);
    if (refusal.get().isFinal() || !enqueue(request)) {
      verdict.completeExceptionally(exception(refusal.get()));
    }
    return verdict;
  }

  private boolean enqueue(WaitingRequest request) {
    synchronized (waiting) {
      return waiting.size() < MAX_WAITING && waiting.add(request);
    }
  }

  private Optional<QuotaHolder.Refusal> tryAdmit(
      List<QuotaKey> keys, long tokens, boolean firstTry) {
    Optional<QuotaHolder.Refusal> refusal;
    synchronized (node) {
      refreshImage();
      refusal = node.admit(keys, tokens, firstTry, System.nanoTime());
    }
    if (refusal.isEmpty()) {
      metrics.admitted();
    }
    return refusal;
  }

  private FallturnException exception(QuotaHolder.Refusal refusal) {
    metrics.refused(refusal.part());
    return new FallturnException(
        ErrorKind.LIMIT_REACHED,
        "limit reached: " + refusal.part().text() + " of " + refusal.key().value(),
        refusal.retryAfter(),
        null);
  }

  void placed(List<QuotaKey> keys) {
    synchronized (node) {
      node.placed(keys);
    }
  }

  void finished(List<QuotaKey> keys, long unusedTokens) {
    synchronized (node) {
      node.finished(keys, unusedTokens);
    }
  }

  private void refreshImage() {
    ConfigurationImage present = sources.configuration().get();
    if (present != image) {
      image = present;
      node.setImage(present);
    }
  }

  private void refresh() {
    refreshImage();
    node.setSurroundings(NodeSurroundings.of(sources.membership().get(), sources.machines().get()));
  }

  private void askNow(List<QuotaKey> keys) {
    List<QuotaAction> actions;
    synchronized (node) {
      actions = node.askNow(keys, System.nanoTime());
    }
    actions.forEach(this::perform);
  }

  private void perform(QuotaAction action) {
    if (action instanceof AskShares ask) {
      send(ask.to(), SHARES_PATH, ask.message(), ShareGrants.class, this::shareRequestsHere)
          .whenComplete((answer, failure) -> onGrants(ask, answer));
    } else if (action instanceof AskHoldings ask) {
      send(ask.to(), HOLDINGS_PATH, ask.message(), Holdings.class, this::holdingsHere)
          .whenComplete((answer, failure) -> onHoldings(ask, answer));
    }
  }

  /** Answers a message to this node itself. */
  private interface Here<Q, A> {
    A answer(Q question);
  }

  private <Q, A> CompletableFuture<A> send(
      NodeId to, String path, Q message, Class<A> type, Here<Q, A> here) {
    if (to.equals(self)) {
      return CompletableFuture.completedFuture(here.answer(message));
    }
    Optional<NetworkAddress> address =
        sources.membership().get().member(to).map(Member::peerAddress);
    if (address.isEmpty()) {
      return CompletableFuture.failedFuture(new IllegalStateException("unknown node " + to));
    }
    metrics.messageSent();
    return client.post(address.get(), path, message, type, PEER_TIMEOUT);
  }

  private void onGrants(AskShares ask, ShareGrants answer) {
    synchronized (node) {
      if (answer == null) {
        node.onNoGrants(ask);
        return;
      }
      node.onGrants(ask, answer, System.nanoTime());
    }
    duty.offer(this::retryWaiting);
  }

  private void onHoldings(AskHoldings ask, Holdings answer) {
    if (answer != null) {
      synchronized (node) {
        node.onHoldings(ask, answer, System.nanoTime());
      }
    }
  }

  private CompletionStage<ShareGrants> onShareRequests(ShareRequests message) {
    return CompletableFuture.completedFuture(shareRequestsHere(message));
  }

  private CompletionStage<Holdings> onHoldings(HoldingsRequest message) {
    return CompletableFuture.completedFuture(holdingsHere(message));
  }

  private ShareGrants shareRequestsHere(ShareRequests message) {
    synchronized (node) {
      return node.onShareRequests(message, System.nanoTime());
    }
  }

  private Holdings holdingsHere(HoldingsRequest message) {
    synchronized (node) {
      return node.onHoldingsRequest(message, System.nanoTime());
    }
  }

  private void renew() {
    List<QuotaAction> actions;
    synchronized (node) {
      refresh();
      actions = node.onInterval(System.nanoTime());
      metrics.ownedTenants(node.ownedTenants().size());
    }
    actions.forEach(this::perform);
  }

  private void retryWaiting() {
    List<WaitingRequest> requests;
    synchronized (waiting) {
      requests = new ArrayList<>(waiting);
      waiting.clear();
    }
    requests.forEach(this::retry);
  }

  private void retry(WaitingRequest request) {
    Optional<QuotaHolder.Refusal> refusal = tryAdmit(request.keys(), request.tokens(), false);
    if (refusal.isEmpty()) {
      request.verdict().complete(new QuotaTicket(this, request.keys(), request.tokens()));
      return;
    }
    boolean over = System.nanoTime() - request.untilNanos() >= 0;
    if (over || refusal.get().isFinal() || !enqueue(request)) {
      request.verdict().completeExceptionally(exception(refusal.get()));
    } else {
      askNow(request.keys());
    }
  }

  /** Runs on the duty thread. */
  private final class Handler implements DutyHandler<Runnable> {

    @Override
    public void onEvent(Runnable event) {
      event.run();
    }

    @Override
    public void onTick() {
      retryWaiting();
      long now = System.nanoTime();
      if (now - lastIntervalNanos >= parameters.shareInterval().toNanos()) {
        lastIntervalNanos = now;
        renew();
      }
    }
  }
}
