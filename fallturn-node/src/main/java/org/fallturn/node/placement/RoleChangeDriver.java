package org.fallturn.node.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.EngineOrderService;
import org.fallturn.core.placement.PoolScheduler;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.OrderAnswer;
import org.fallturn.core.roles.EngineObservation;
import org.fallturn.core.roles.PoolObservation;
import org.fallturn.core.roles.RoleChange;
import org.fallturn.core.roles.RolePolicy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out what the role policy of one pool decides: an engine gets no new work, finishes what
 * it has, and only then is ordered to change. No more engines than the operators allow are on their
 * way at once. Used by the leaders' duty thread.
 */
final class RoleChangeDriver {
  private static final Logger LOG = LoggerFactory.getLogger(RoleChangeDriver.class);
  private static final long MAX_DRAIN_NANOS = Duration.ofMinutes(5).toNanos();

  private final PoolId pool;
  private final Epoch epoch;
  private final PoolScheduler scheduler;
  private final RolePolicy policy;
  private final EngineOrderService orders;
  private final Consumer<LeaderEvent> events;
  private final Map<EngineId, Change> changes = new HashMap<>();

  RoleChangeDriver(
      PoolId pool,
      Epoch epoch,
      PoolScheduler scheduler,
      RolePolicy policy,
      EngineOrderService orders,
      Consumer<LeaderEvent> events) {
    this.pool = pool;
    this.epoch = epoch;
    this.scheduler = scheduler;
    this.policy = policy;
    this.orders = orders;
    this.events = events;
  }

  /** Asks the policy and begins what it wants. */
  void decide(PoolPolicyRecord operatorsPolicy, long nowNanos) {
    PoolObservation observation = scheduler.observe(nowNanos);
    long changing =
        observation.engines().stream()
            .filter(e -> e.availability() == EngineObservation.Availability.CHANGING_ROLE)
            .filter(e -> !changes.containsKey(e.engine()))
            .count();
    for (RoleChange wanted : policy.decide(observation, operatorsPolicy)) {
      if (changes.size() + changing >= operatorsPolicy.maxChanging()) {
        return;
      }
      if (!changes.containsKey(wanted.engine())) {
        begin(wanted, nowNanos);
      }
    }
  }

  private void begin(RoleChange wanted, long nowNanos) {
    LOG.info("placement: Draining {} of {} to become {}.", wanted.engine(), pool, wanted.role());
    scheduler.beginDrain(wanted.engine(), wanted.role());
    changes.put(wanted.engine(), new Change(wanted, nowNanos));
  }

  /** Orders the changes of engines that have become idle; gives up what takes too long. */
  void advance(long nowNanos) {
    for (Change change : new ArrayList<>(changes.values())) {
      if (change.ordered) {
        continue;
      }
      if (scheduler.isIdle(change.wanted.engine(), nowNanos)) {
        change.ordered = true;
        order(change.wanted);
      } else if (nowNanos - change.startNanos > MAX_DRAIN_NANOS) {
        LOG.warn("placement: Gave up draining {} of {}.", change.wanted.engine(), pool);
        end(change.wanted.engine());
      }
    }
  }

  private void order(RoleChange wanted) {
    EngineId engine = wanted.engine();
    orders
        .order(pool, engine, new EngineCommand.ChangeRole(wanted.role()))
        .whenComplete(
            (answer, failure) ->
                events.accept(
                    failure == null
                        ? new LeaderEvent.RoleChangeAnswered(pool, epoch, engine, answer)
                        : new LeaderEvent.RoleChangeFailed(
                            pool, epoch, engine, failure.getMessage())));
  }

  void answered(EngineId engine, OrderAnswer answer, long nowNanos) {
    if (answer.accepted()) {
      LOG.info("placement: {} of {} changes to {}.", engine, pool, answer.state().role());
    } else {
      LOG.warn("placement: {} of {} refused its role: {}.", engine, pool, answer.reason());
    }
    scheduler.onEngineState(answer.state(), nowNanos);
    end(engine);
  }

  /** The order may or may not have reached the engine: only its state tells. */
  void failed(EngineId engine, String reason, long nowNanos) {
    LOG.warn("placement: No answer to the role change of {} of {}: {}.", engine, pool, reason);
    scheduler.onEngineUnreachable(engine, nowNanos);
    end(engine);
  }

  private void end(EngineId engine) {
    changes.remove(engine);
    scheduler.endDrain(engine);
  }

  /** Engines that are draining or have just been ordered. */
  List<EngineId> underWay() {
    return new ArrayList<>(changes.keySet());
  }

  /** One change on its way. */
  private static final class Change {
    private final RoleChange wanted;
    private final long startNanos;
    private boolean ordered;

    Change(RoleChange wanted, long startNanos) {
      this.wanted = wanted;
      this.startNanos = startNanos;
    }
  }
}
