package org.fallturn.core.orders;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.lease.LoadDemand;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.port.engine.OrderNumber;

/**
 * Orders of one leadership to the engines of one pool.
 *
 * <p>Invariants: every order has a number that no earlier order had; an engine gets an order only
 * after it has acknowledged the fence of this leadership, and only when no other order is in
 * progress there; after a lost answer, a fence with a new number is sent first, so that the lost
 * order can no longer take effect once the state has been read. Owned by one thread; the caller
 * checks the lease right before each send.
 */
public final class PoolOrderBook {

  private static final long LOAD_WAIT_NANOS = Duration.ofSeconds(10).toNanos();

  private final Epoch epoch;
  private final long retryNanos;
  private final Map<EngineId, EngineEntry> engines = new TreeMap<>();
  private final Map<EngineId, Long> waitingLoads = new HashMap<>();
  private long nextSequence;
  private int loadSlots = 1;
  private long startedLoads;

  /**
   * Creates an order book without engines.
   *
   * @param epoch epoch of the leadership
   * @param retry delay before an unanswered fence is sent again
   */
  public PoolOrderBook(Epoch epoch, Duration retry) {
    this.epoch = epoch;
    this.retryNanos = retry.toNanos();
  }

  /** Returns the epoch of the leadership that the orders belong to. */
  public Epoch epoch() {
    return epoch;
  }

  /** Updates the set of engines of the pool. */
  public void onEngines(Set<EngineId> present, long nowNanos) {
    engines.keySet().retainAll(present);
    waitingLoads.keySet().retainAll(present);
    present.forEach(engine -> engines.computeIfAbsent(engine, id -> new EngineEntry(nowNanos)));
  }

  /** Sets how many engines of the pool may load at the same time. */
  public void onLoadSlots(int slots) {
    loadSlots = slots;
  }

  /** Returns the pool's demand for the weight store. */
  public LoadDemand loadDemand(long nowNanos) {
    waitingLoads.values().removeIf(since -> nowNanos - since > LOAD_WAIT_NANOS);
    Set<EngineId> enginesWithDemand = new HashSet<>(waitingLoads.keySet());
    engines.forEach(
        (engine, entry) -> {
          if (isLoading(entry)) {
            enginesWithDemand.add(engine);
          }
        });
    return new LoadDemand(enginesWithDemand.size(), startedLoads);
  }

  /** Returns the engines to which a fence must be sent now. */
  public List<EngineId> fencesDue(long nowNanos) {
    List<EngineId> due = new ArrayList<>();
    engines.forEach(
        (engine, entry) -> {
          if (entry.isFenceDue(nowNanos)) {
            due.add(engine);
          }
        });
    return due;
  }

  /** Creates the fence to send to an engine. */
  public EngineOrder raiseFence(EngineId engine) {
    EngineOrder fence =
        new EngineOrder(nextNumber(), EngineOrder.ANY_INCARNATION, new EngineCommand.RaiseFence());
    engines.get(engine).send(fence);
    return fence;
  }

  /** Returns whether the first fence of every engine was answered or given up. */
  public boolean isFencingAttempted() {
    return engines.values().stream().allMatch(EngineEntry::fenceAttempted);
  }

  /** Returns the states of the engines that acknowledged the fence. */
  public List<EngineState> fencedStates() {
    return engines.values().stream()
        .filter(entry -> isKnown(entry))
        .map(EngineEntry::state)
        .toList();
  }

  /**
   * Returns the engines that are carrying out an order; their state should be read periodically.
   */
  public List<EngineId> working() {
    List<EngineId> working = new ArrayList<>();
    engines.forEach(
        (engine, entry) -> {
          if (entry.phase() == EngineEntry.Phase.WORKING) {
            working.add(engine);
          }
        });
    return working;
  }

  /** Numbers an order, or returns the reason why it cannot be sent. */
  public OrderDecision submit(EngineId engine, EngineCommand command, long nowNanos) {
    EngineEntry entry = engines.get(engine);
    Optional<OrderDecision.Reason> obstacle = obstacle(entry, command);
    if (obstacle.isPresent()) {
      if (obstacle.get() == OrderDecision.Reason.LOADS_LIMITED) {
        waitingLoads.put(engine, nowNanos);
      }
      return new OrderDecision.Refused(obstacle.get());
    }
    if (isLoad(command)) {
      waitingLoads.remove(engine);
      startedLoads++;
    }
    EngineOrder order = new EngineOrder(nextNumber(), entry.state().incarnation(), command);
    entry.send(order);
    return new OrderDecision.Send(order);
  }

  private Optional<OrderDecision.Reason> obstacle(EngineEntry entry, EngineCommand command) {
    if (entry == null) {
      return Optional.of(OrderDecision.Reason.UNKNOWN_ENGINE);
    }
    return switch (entry.phase()) {
      case UNCERTAIN -> Optional.of(OrderDecision.Reason.NOT_FENCED);
      case SENT, WORKING -> Optional.of(OrderDecision.Reason.IN_PROGRESS);
      case READY ->
          isLoad(command) && loadsInProgress() >= loadSlots
              ? Optional.of(OrderDecision.Reason.LOADS_LIMITED)
              : Optional.empty();
    };
  }

  /** Handles an engine's answer to an order or a fence. */
  public OrderResult onAnswer(
      EngineId engine, EngineOrder order, OrderAnswer answer, long nowNanos) {
    Epoch fence = answer.state().fence().epoch();
    if (fence.compareTo(epoch) > 0) {
      return new OrderResult.Superseded(fence);
    }
    EngineEntry entry = engines.get(engine);
    if (entry == null || !entry.isWaitingFor(order)) {
      return new OrderResult.Stale();
    }
    if (answer.accepted()) {
      entry.markKnown(answer.state());
      boolean isFence = order.command() instanceof EngineCommand.RaiseFence;
      return isFence
          ? new OrderResult.Fenced(answer.state())
          : new OrderResult.Accepted(answer.state());
    }
    // The engine refused although it reports no later leadership: a new fence shows its exact
    // state.
    entry.markUncertain(nowNanos + retryNanos);
    return new OrderResult.Refused(answer.state());
  }

  /** Handles a missing answer to an order or a fence, which may still take effect. */
  public void onNoAnswer(EngineId engine, EngineOrder order, long nowNanos) {
    EngineEntry entry = engines.get(engine);
    if (entry != null && entry.isWaitingFor(order)) {
      entry.markUncertain(nowNanos + retryNanos);
    }
  }

  /** Handles an order or a fence that was not sent, because the lease ran out. */
  public void onNotSent(EngineId engine, EngineOrder order, long nowNanos) {
    onNoAnswer(engine, order, nowNanos);
  }

  /**
   * Handles an engine's state that was read, or its incarnation that was seen elsewhere. A
   * restarted engine has lost its fence and is fenced again.
   */
  public void onState(EngineId engine, EngineState state, long nowNanos) {
    EngineEntry entry = engines.get(engine);
    if (entry == null || !isKnown(entry) || isOutdated(state, entry)) {
      return;
    }
    if (state.incarnation() != entry.state().incarnation()) {
      entry.markUncertain(nowNanos);
    } else {
      entry.markKnown(state);
    }
  }

  /**
   * Returns whether a late answer reports a state from before the last order that the engine
   * accepted.
   */
  private static boolean isOutdated(EngineState state, EngineEntry entry) {
    boolean sameIncarnation = state.incarnation() == entry.state().incarnation();
    return sameIncarnation && state.fence().compareTo(entry.state().fence()) < 0;
  }

  private OrderNumber nextNumber() {
    return new OrderNumber(epoch, nextSequence++);
  }

  private long loadsInProgress() {
    return engines.values().stream().filter(PoolOrderBook::isLoading).count();
  }

  private static boolean isLoading(EngineEntry entry) {
    boolean sentLoad = entry.phase() == EngineEntry.Phase.SENT && isLoad(entry.sent().command());
    boolean loading =
        entry.phase() == EngineEntry.Phase.WORKING
            && entry.state().activity() == EngineState.Activity.LOADING_MODEL;
    return sentLoad || loading;
  }

  private static boolean isKnown(EngineEntry entry) {
    return entry.phase() == EngineEntry.Phase.READY || entry.phase() == EngineEntry.Phase.WORKING;
  }

  private static boolean isLoad(EngineCommand command) {
    return command instanceof EngineCommand.LoadModel
        || command instanceof EngineCommand.LoadAdapter;
  }
}
