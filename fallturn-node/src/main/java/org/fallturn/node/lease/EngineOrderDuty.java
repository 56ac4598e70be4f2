package org.fallturn.node.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.lease.Authority;
import org.fallturn.core.lease.LoadDemand;
import org.fallturn.core.orders.LoadShares;
import org.fallturn.core.orders.OrderDecision;
import org.fallturn.core.orders.OrderResult;
import org.fallturn.core.orders.PoolOrderBook;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.node.duty.DutyHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends fences and orders to the engines of the pools that this node leads. Right before each send
 * it checks the lease by the monotonic clock, so that a node that was paused stops itself.
 */
final class EngineOrderDuty implements DutyHandler<OrderEvent> {

  private static final Logger LOG = LoggerFactory.getLogger(EngineOrderDuty.class);
  private static final Duration FENCE_RETRY = Duration.ofMillis(500);

  private final AuthorityBoard board;
  private final EngineOrderClient client;
  private final Supplier<List<PoolEngines>> pools;
  private final LeaseModuleSettings settings;
  private final Consumer<OrderEvent> ownRing;
  private final Consumer<LeaseEvent> leaseRing;
  private final Runnable demandScan;
  private final OrderCounters counters;
  private final Map<PoolId, LedPool> led = new HashMap<>();
  private long lastPollNanos = System.nanoTime();
  private long lastScanNanos = System.nanoTime();

  /**
   * A duty that leads nothing yet.
   *
   * @param ownRing events of this duty, offered by client threads
   * @param leaseRing events of the lease duty
   * @param demandScan starts a scan of every pool's demand for loads
   */
  EngineOrderDuty(
      AuthorityBoard board,
      EngineOrderClient client,
      Supplier<List<PoolEngines>> pools,
      LeaseModuleSettings settings,
      Consumer<OrderEvent> ownRing,
      Consumer<LeaseEvent> leaseRing,
      Runnable demandScan,
      OrderCounters counters) {
    this.board = board;
    this.client = client;
    this.pools = pools;
    this.settings = settings;
    this.ownRing = ownRing;
    this.leaseRing = leaseRing;
    this.demandScan = demandScan;
    this.counters = counters;
  }

  @Override
  public void onEvent(OrderEvent event) {
    long now = System.nanoTime();
    if (event instanceof OrderEvent.LeadershipChanged) {
      onTick();
    } else if (event instanceof OrderEvent.Submit submit) {
      submit(submit, now);
    } else if (event instanceof OrderEvent.Answered answered) {
      onAnswered(answered, now);
    } else if (event instanceof OrderEvent.StateRead read) {
      onState(read, now);
    } else if (event instanceof OrderEvent.DemandsScanned scanned) {
      onDemands(scanned.demands());
    }
  }

  @Override
  public void onTick() {
    long now = System.nanoTime();
    followLeaderships();
    if (led.isEmpty()) {
      return;
    }
    updateEngines(now);
    sendFences(now);
    announce();
    if (now - lastPollNanos >= settings.statePollInterval().toNanos()) {
      lastPollNanos = now;
      pollStates();
      updateDemands(now);
    }
  }

  private void followLeaderships() {
    Map<PoolId, Authority> present = board.authorities();
    led.entrySet().removeIf(entry -> !isPresent(present.get(entry.getKey()), entry.getValue()));
    present.forEach(
        (name, authority) ->
            led.computeIfAbsent(
                name, key -> new LedPool(new PoolOrderBook(authority.epoch(), FENCE_RETRY))));
  }

  private static boolean isPresent(Authority authority, LedPool pool) {
    return authority != null && authority.epoch().equals(pool.book().epoch());
  }

  private void updateEngines(long now) {
    for (PoolEngines engines : pools.get()) {
      LedPool pool = led.get(engines.pool());
      if (pool != null) {
        pool.engines(engines.addresses(), now);
      }
    }
  }

  private void sendFences(long now) {
    led.forEach(
        (name, pool) -> {
          if (!board.permits(name, pool.book().epoch(), now)) {
            return;
          }
          for (EngineId engine : pool.book().fencesDue(now)) {
            EngineOrder fence = pool.book().raiseFence(engine);
            send(name, pool, engine, fence, Optional.empty());
          }
        });
  }

  private void announce() {
    led.forEach(
        (name, pool) -> {
          if (pool.becomesAnnounced()) {
            leaseRing.accept(
                new LeaseEvent.PoolFenced(name, pool.book().epoch(), pool.book().fencedStates()));
          }
        });
  }

  private void submit(OrderEvent.Submit submit, long now) {
    LedPool pool = led.get(submit.pool());
    if (pool == null) {
      fail(submit.answer(), ErrorKind.NO_CAPACITY, "this node does not lead " + submit.pool());
      return;
    }
    OrderDecision decision = pool.book().submit(submit.engine(), submit.command(), now);
    if (decision instanceof OrderDecision.Send send) {
      send(submit.pool(), pool, submit.engine(), send.order(), Optional.of(submit.answer()));
    } else if (decision instanceof OrderDecision.Refused refused) {
      counters.refused();
      fail(
          submit.answer(),
          ErrorKind.CONFLICT,
          "engine " + submit.engine() + " cannot be ordered now: " + refused.reason());
    }
  }

  private void send(
      PoolId name,
      LedPool pool,
      EngineId engine,
      EngineOrder order,
      Optional<CompletableFuture<OrderAnswer>> asker) {
    // The last thing before the send: a paused node must find out here that its lease has run out.
    if (!board.permits(name, pool.book().epoch(), System.nanoTime())) {
      pool.book().onNotSent(engine, order, System.nanoTime());
      counters.stopped();
      asker.ifPresent(
          future -> fail(future, ErrorKind.NO_CAPACITY, "the lease of " + name + " has run out"));
      return;
    }
    counters.sent();
    client
        .send(pool.address(engine), order)
        .whenComplete(
            (answer, failure) ->
                ownRing.accept(
                    new OrderEvent.Answered(
                        name,
                        order.number().epoch(),
                        engine,
                        order,
                        Optional.ofNullable(answer),
                        asker)));
  }

  private void onAnswered(OrderEvent.Answered event, long now) {
    LedPool pool = led.get(event.pool());
    boolean current = pool != null && pool.book().epoch().equals(event.epoch());
    if (event.answer().isEmpty()) {
      counters.unanswered();
      if (current) {
        pool.book().onNoAnswer(event.engine(), event.order(), now);
      }
      event
          .asker()
          .ifPresent(
              future ->
                  fail(
                      future,
                      ErrorKind.OUTCOME_UNKNOWN,
                      "engine " + event.engine() + " did not answer the order"));
      return;
    }
    OrderAnswer answer = event.answer().get();
    event.asker().ifPresent(future -> future.complete(answer));
    if (current) {
      report(event, pool.book().onAnswer(event.engine(), event.order(), answer, now));
    }
  }

  private void report(OrderEvent.Answered event, OrderResult result) {
    if (result instanceof OrderResult.Fenced fenced) {
      leaseRing.accept(new LeaseEvent.EngineKnown(event.pool(), event.epoch(), fenced.state()));
    } else if (result instanceof OrderResult.Superseded superseded) {
      LOG.info(
          "lease: Engine {} of pool {} obeys epoch {}.",
          event.engine(),
          event.pool(),
          superseded.epoch().value());
      leaseRing.accept(new LeaseEvent.Superseded(event.pool(), superseded.epoch()));
    }
  }

  private void pollStates() {
    led.forEach(
        (name, pool) -> {
          for (EngineId engine : pool.book().working()) {
            client
                .state(pool.address(engine))
                .thenAccept(
                    state ->
                        ownRing.accept(
                            new OrderEvent.StateRead(name, pool.book().epoch(), engine, state)));
          }
        });
  }

  private void onState(OrderEvent.StateRead read, long now) {
    LedPool pool = led.get(read.pool());
    if (pool == null || !pool.book().epoch().equals(read.epoch())) {
      return;
    }
    pool.book().onState(read.engine(), read.state(), now);
    if (read.state().activity() == EngineState.Activity.SERVING) {
      leaseRing.accept(new LeaseEvent.EngineKnown(read.pool(), read.epoch(), read.state()));
    }
  }

  private void updateDemands(long now) {
    boolean wanted = false;
    for (Map.Entry<PoolId, LedPool> entry : led.entrySet()) {
      LoadDemand demand = entry.getValue().book().loadDemand(now);
      if (entry.getValue().updateDemand(demand)) {
        leaseRing.accept(new LeaseEvent.LoadsWanted(entry.getKey(), demand));
      }
      wanted |= entry.getValue().wantsLoads();
    }
    if (wanted && now - lastScanNanos >= settings.parameters().renewInterval().toNanos()) {
      lastScanNanos = now;
      demandScan.run();
    }
  }

  private void onDemands(Map<PoolId, LoadDemand> demands) {
    Map<PoolId, Integer> shares = LoadShares.of(demands, settings.totalLoadSlots());
    led.forEach(
        (name, pool) -> {
          if (demands.getOrDefault(name, LoadDemand.NONE).waiting() > 0) {
            pool.book().onLoadSlots(shares.getOrDefault(name, 0));
          }
        });
  }

  private static void fail(CompletableFuture<OrderAnswer> future, ErrorKind kind, String message) {
    future.completeExceptionally(new FallturnException(kind, message));
  }
}
