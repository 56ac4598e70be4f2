package org.fallturn.node.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;
import org.fallturn.core.lease.EngineOrderService;
import org.fallturn.core.orders.VersionRollout;
import org.fallturn.core.placement.PoolScheduler;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.OrderAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings the engines of one pool to the model version that the operators want: an engine gets no
 * new work, finishes what it has, and only then loads. Used by the leaders' duty thread.
 */
final class VersionRolloutDriver {

  private static final Logger LOG = LoggerFactory.getLogger(VersionRolloutDriver.class);
  private static final long MAX_DRAIN_NANOS = Duration.ofMinutes(5).toNanos();
  private static final long MAX_SHARE_WAIT_NANOS = Duration.ofSeconds(30).toNanos();
  private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();

  private final PoolId pool;
  private final Epoch epoch;
  private final PoolScheduler scheduler;
  private final EngineOrderService orders;
  private final Consumer<LeaderEvent> events;
  private final VersionRollout rollout = new VersionRollout();
  private final Map<EngineId, Load> loads = new HashMap<>();

  VersionRolloutDriver(
      PoolId pool,
      Epoch epoch,
      PoolScheduler scheduler,
      EngineOrderService orders,
      Consumer<LeaderEvent> events) {
    this.pool = pool;
    this.epoch = epoch;
    this.scheduler = scheduler;
    this.orders = orders;
    this.events = events;
  }

  void onEngines(Set<EngineId> present) {
    rollout.onEngines(present);
  }

  void onState(EngineState state) {
    rollout.onState(state);
  }

  /** Begins with the next engine when there is room. */
  void decide(String target, List<EngineId> changingRole, long nowNanos) {
    Set<EngineId> busy = new HashSet<>(changingRole);
    busy.addAll(loads.keySet());
    rollout.next(target, busy).ifPresent(engine -> begin(engine, target, nowNanos));
  }

  private void begin(EngineId engine, String target, long nowNanos) {
    LOG.info("placement: Draining {} of {} to load version {}.", engine, pool, target);
    scheduler.beginDrain(engine, rollout.state(engine).orElseThrow().role());
    loads.put(engine, new Load(target, nowNanos));
  }

  /** Orders the loads of engines that have become idle; gives up what takes too long. */
  void advance(long nowNanos) {
    for (Map.Entry<EngineId, Load> entry : new ArrayList<>(loads.entrySet())) {
      Load load = entry.getValue();
      if (load.ordered || nowNanos - load.retryAtNanos < 0) {
        continue;
      }
      if (scheduler.isIdle(entry.getKey(), nowNanos)) {
        load.ordered = true;
        order(entry.getKey(), load);
      } else if (nowNanos - load.startNanos > MAX_DRAIN_NANOS) {
        LOG.warn("placement: Gave up draining {} of {}.", entry.getKey(), pool);
        end(entry.getKey());
      }
    }
  }

  private void order(EngineId engine, Load load) {
    orders
        .order(pool, engine, new EngineCommand.LoadModel(pool.model(), load.target))
        .whenComplete(
            (answer, failure) ->
                events.accept(
                    failure == null
                        ? new LeaderEvent.LoadAnswered(pool, epoch, engine, answer)
                        : new LeaderEvent.LoadFailed(pool, epoch, engine, kindOf(failure))));
  }

  private static ErrorKind kindOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof FallturnException known ? known.kind() : ErrorKind.OUTCOME_UNKNOWN;
  }

  void answered(EngineId engine, OrderAnswer answer, long nowNanos) {
    if (answer.accepted()) {
      LOG.info("placement: {} of {} loads {}.", engine, pool, answer.state().modelVersion());
    } else {
      LOG.warn("placement: {} of {} refused a load: {}.", engine, pool, answer.reason());
    }
    rollout.onState(answer.state());
    scheduler.onEngineState(answer.state(), nowNanos);
    end(engine);
  }

  /** A load that was not sent waits for its share; any other failure is settled by the state. */
  void failed(EngineId engine, ErrorKind kind, long nowNanos) {
    Load load = loads.get(engine);
    if (load == null) {
      return;
    }
    boolean waits = kind == ErrorKind.CONFLICT;
    if (waits && nowNanos - load.startNanos < MAX_SHARE_WAIT_NANOS) {
      load.ordered = false;
      load.retryAtNanos = nowNanos + RETRY_NANOS;
      return;
    }
    LOG.warn("placement: The load of {} of {} was not done: {}.", engine, pool, kind);
    if (kind == ErrorKind.OUTCOME_UNKNOWN) {
      scheduler.onEngineUnreachable(engine, nowNanos);
    }
    end(engine);
  }

  private void end(EngineId engine) {
    loads.remove(engine);
    scheduler.endDrain(engine);
  }

  /** Engines that are draining or have just been ordered. */
  List<EngineId> underWay() {
    return new ArrayList<>(loads.keySet());
  }

  /** One load on its way. */
  private static final class Load {
    private final String target;
    private final long startNanos;
    private long retryAtNanos;
    private boolean ordered;

    Load(String target, long startNanos) {
      this.target = target;
      this.startNanos = startNanos;
      this.retryAtNanos = startNanos;
    }
  }
}
