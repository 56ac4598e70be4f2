package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.Authority;
import org.fallturn.core.orders.OrderDecision;
import org.fallturn.core.orders.OrderResult;
import org.fallturn.core.orders.PoolOrderBook;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.OrderNumber;

/**
 * A node's order duty in the simulation: the core's {@link PoolOrderBook}, with a leader that wants
 * role changes at random. Between the decision to send and the send a pause may strike.
 */
final class LeadershipOrders {

  private static final long ORDER_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();
  private static final Duration FENCE_RETRY = Duration.ofMillis(300);
  private static final long HANDOFF_NANOS = Duration.ofMillis(5).toNanos();
  private static final double ORDER_SHARE = 0.3;
  private static final double POLL_SHARE = 0.3;

  private final LeadershipWorld world;
  private final LeadershipNode node;
  private final Simulation simulation;
  private final Map<PoolId, PoolOrderBook> books = new HashMap<>();

  LeadershipOrders(LeadershipWorld world, LeadershipNode node) {
    this.world = world;
    this.node = node;
    this.simulation = world.simulation();
  }

  void tick(Map<PoolId, Authority> authorities) {
    books.entrySet().removeIf(entry -> !isPresent(authorities.get(entry.getKey()), entry));
    for (Map.Entry<PoolId, Authority> entry : authorities.entrySet()) {
      PoolOrderBook book =
          books.computeIfAbsent(
              entry.getKey(), pool -> new PoolOrderBook(entry.getValue().epoch(), FENCE_RETRY));
      book.onEngines(ids(entry.getKey()), node.clockNanos());
      tickPool(entry.getKey(), book);
    }
  }

  private static boolean isPresent(Authority authority, Map.Entry<PoolId, PoolOrderBook> entry) {
    return authority != null && authority.epoch().equals(entry.getValue().epoch());
  }

  private Set<EngineId> ids(PoolId pool) {
    return world.engines(pool).stream().map(SimulatedEngine::id).collect(Collectors.toSet());
  }

  private void tickPool(PoolId pool, PoolOrderBook book) {
    if (node.mayOrder(pool)) {
      for (EngineId engine : book.fencesDue(node.clockNanos())) {
        EngineOrder fence = book.raiseFence(engine);
        node.later(HANDOFF_NANOS, () -> send(pool, book, engine, fence));
      }
    }
    if (simulation.chance(POLL_SHARE)) {
      book.working().forEach(engine -> pollState(pool, book, engine));
    }
    if (simulation.chance(ORDER_SHARE)) {
      wantRoleChange(pool, book);
    }
  }

  private void wantRoleChange(PoolId pool, PoolOrderBook book) {
    int index = simulation.random().nextInt(world.engines(pool).size());
    EngineId engine = world.engines(pool).get(index).id();
    EngineRole role = simulation.chance(0.5) ? EngineRole.PREFILL : EngineRole.DECODE;
    OrderDecision decision =
        book.submit(engine, new EngineCommand.ChangeRole(role), node.clockNanos());
    if (decision instanceof OrderDecision.Send send) {
      node.later(HANDOFF_NANOS, () -> send(pool, book, engine, send.order()));
    }
  }

  private void send(PoolId pool, PoolOrderBook book, EngineId engine, EngineOrder order) {
    boolean checked = !world.isBroken(BrokenVariant.LEASE_NOT_CHECKED_BEFORE_SEND);
    if (checked && !mayOrder(pool, book)) {
      world.coverage().count("orders-stopped-by-clock");
      book.onNotSent(engine, order, node.clockNanos());
      return;
    }
    boolean isFence = order.command() instanceof EngineCommand.RaiseFence;
    if (isFence && world.isBroken(BrokenVariant.FENCE_NOT_RAISED)) {
      readStateInsteadOfFence(pool, book, engine, order);
      return;
    }
    world.checkSend(node, pool, order);
    Consumer<Optional<OrderAnswer>> receiver = once(pool, book, engine, order);
    SimulatedEngine target = world.engine(pool, engine).orElseThrow();
    simulation.send(
        node.name(),
        engine.value(),
        () -> {
          OrderAnswer answer = target.onOrder(order);
          simulation.send(engine.value(), node.name(), () -> receiver.accept(Optional.of(answer)));
        });
    simulation.after(ORDER_TIMEOUT_NANOS, () -> receiver.accept(Optional.empty()));
  }

  private boolean mayOrder(PoolId pool, PoolOrderBook book) {
    Authority authority = node.authorities().get(pool);
    return authority != null
        && authority.epoch().equals(book.epoch())
        && authority.permits(node.clockNanos());
  }

  private Consumer<Optional<OrderAnswer>> once(
      PoolId pool, PoolOrderBook book, EngineId engine, EngineOrder order) {
    boolean[] done = {false};
    return answer ->
        node.inProcess(
            () -> {
              if (!done[0]) {
                done[0] = true;
                onAnswer(pool, book, engine, order, answer);
              }
            });
  }

  private void onAnswer(
      PoolId pool,
      PoolOrderBook book,
      EngineId engine,
      EngineOrder order,
      Optional<OrderAnswer> answer) {
    if (answer.isEmpty()) {
      onNoAnswer(pool, book, engine, order);
      return;
    }
    OrderResult result = book.onAnswer(engine, order, answer.get(), node.clockNanos());
    if (result instanceof OrderResult.Fenced) {
      world.engine(pool, engine).orElseThrow().stateKnownTo(book.epoch());
    } else if (result instanceof OrderResult.Superseded superseded) {
      world.coverage().count("superseded");
      node.perform(node.manager().onSuperseded(pool, superseded.epoch()));
    }
  }

  private void onNoAnswer(PoolId pool, PoolOrderBook book, EngineId engine, EngineOrder order) {
    world.coverage().count("lost-orders");
    if (world.isBroken(BrokenVariant.LOST_ORDER_NOT_SETTLED)) {
      EngineState guessed = serving(order, world.engine(pool, engine).orElseThrow().state());
      book.onAnswer(engine, order, new OrderAnswer(true, "", guessed), node.clockNanos());
      return;
    }
    book.onNoAnswer(engine, order, node.clockNanos());
  }

  /** Broken variant: reads the state by a plain question, which leaves older orders alive. */
  private void readStateInsteadOfFence(
      PoolId pool, PoolOrderBook book, EngineId engine, EngineOrder fence) {
    SimulatedEngine target = world.engine(pool, engine).orElseThrow();
    EngineState state = target.state();
    target.stateKnownTo(book.epoch());
    book.onAnswer(engine, fence, new OrderAnswer(true, "", state), node.clockNanos());
  }

  private void pollState(PoolId pool, PoolOrderBook book, EngineId engine) {
    SimulatedEngine target = world.engine(pool, engine).orElseThrow();
    simulation.send(
        node.name(),
        engine.value(),
        () -> {
          EngineState state = target.state();
          simulation.send(
              engine.value(),
              node.name(),
              () -> node.inProcess(() -> book.onState(engine, state, node.clockNanos())));
        });
  }

  private static EngineState serving(EngineOrder order, EngineState state) {
    return new EngineState(
        state.engine(),
        state.incarnation(),
        new OrderNumber(order.number().epoch(), order.number().sequence()),
        state.role(),
        state.model(),
        state.modelVersion(),
        state.adapters(),
        EngineState.Activity.SERVING,
        false,
        0);
  }
}
