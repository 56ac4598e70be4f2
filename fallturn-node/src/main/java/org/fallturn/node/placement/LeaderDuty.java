package org.fallturn.node.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.placement.EngineListing;
import org.fallturn.core.placement.PlacementAnswer;
import org.fallturn.core.placement.PlacementProgress;
import org.fallturn.core.placement.PoolMap;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.duty.DutyHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles the events of all pools that this node leads. Runs on one duty thread. */
final class LeaderDuty implements DutyHandler<LeaderEvent> {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderDuty.class);

  private final LeaderParts parts;
  private final Consumer<LeaderEvent> events;
  private final Map<PoolId, PoolLeader> leaders = new HashMap<>();
  private MachineList listedMachines;
  private long listedConfiguration = -1;
  private PoolMap pools;

  LeaderDuty(LeaderParts parts, Consumer<LeaderEvent> events) {
    this.parts = parts;
    this.events = events;
  }

  @Override
  public void onEvent(LeaderEvent event) {
    long now = System.nanoTime();
    if (event instanceof LeaderEvent.Submitted submitted) {
      submit(submitted, now);
    } else if (event instanceof LeaderEvent.Progressed progressed) {
      progress(progressed, now);
    } else if (event instanceof LeaderEvent.Acquired acquired) {
      acquire(acquired, now);
    } else if (event instanceof LeaderEvent.Lost lost) {
      lose(lost);
    } else {
      onEngineEvent(event, now);
    }
  }

  private void onEngineEvent(LeaderEvent event, long now) {
    if (event instanceof LeaderEvent.Fenced fenced) {
      with(fenced.pool(), fenced.epoch(), l -> l.onEngineState(fenced.engine(), now));
    } else if (event instanceof LeaderEvent.StateRead read) {
      with(read.pool(), read.epoch(), leader -> leader.onEngineState(read.state(), now));
    } else if (event instanceof LeaderEvent.LoadRead read) {
      with(read.pool(), read.epoch(), leader -> leader.onEvent(read, now));
    } else if (event instanceof LeaderEvent.CacheRead read) {
      with(read.pool(), read.epoch(), leader -> leader.onEvent(read, now));
    } else if (event instanceof LeaderEvent.PollFailed failed) {
      with(failed.pool(), failed.epoch(), leader -> leader.onEvent(failed, now));
    } else if (event instanceof LeaderEvent.RoleChangeAnswered answered) {
      with(answered.pool(), answered.epoch(), leader -> leader.onEvent(answered, now));
    } else if (event instanceof LeaderEvent.RoleChangeFailed failed) {
      with(failed.pool(), failed.epoch(), leader -> leader.onEvent(failed, now));
    } else if (event instanceof LeaderEvent.LoadAnswered answered) {
      with(answered.pool(), answered.epoch(), leader -> leader.onEvent(answered, now));
    } else if (event instanceof LeaderEvent.LoadFailed failed) {
      with(failed.pool(), failed.epoch(), leader -> leader.onEvent(failed, now));
    }
  }

  private void with(PoolId pool, Epoch epoch, Consumer<PoolLeader> action) {
    PoolLeader leader = leaders.get(pool);
    if (leader != null && leader.epoch().equals(epoch)) {
      action.accept(leader);
    }
  }

  private void submit(LeaderEvent.Submitted event, long now) {
    PoolLeader leader = leaders.get(event.pool());
    if (leader == null) {
      event.answer().complete(new PlacementAnswer.NotLeader());
    } else {
      leader.submit(event, now);
    }
  }

  private void progress(LeaderEvent.Progressed event, long now) {
    for (PlacementProgress progress : event.batch().progress()) {
      PoolLeader leader = leaders.get(progress.pool());
      if (leader != null) {
        leader.onProgress(progress, now);
      }
    }
    List<PoolId> led = event.batch().asked().stream().filter(leaders::containsKey).toList();
    event.answer().complete(new ProgressAnswer(led));
  }

  private void acquire(LeaderEvent.Acquired event, long now) {
    PoolLeader former = leaders.get(event.pool());
    if (former != null) {
      former.end();
    }
    PoolLeader leader = new PoolLeader(event.pool(), event.epoch(), parts, events, now);
    leaders.put(event.pool(), leader);
    refreshPools();
    leader.onListing(listingOf(event.pool()), now);
    event.engines().forEach(state -> leader.onEngineState(state, now));
    leader.onTick(now);
    LOG.info("placement: Lead {} at epoch {}.", event.pool(), event.epoch().value());
  }

  private void lose(LeaderEvent.Lost event) {
    with(
        event.pool(),
        event.epoch(),
        leader -> {
          leaders.remove(event.pool());
          leader.end();
          LOG.info("placement: No longer lead {}.", event.pool());
        });
  }

  @Override
  public void onTick() {
    long now = System.nanoTime();
    if (!leaders.isEmpty() && refreshPools()) {
      leaders.forEach((pool, leader) -> leader.onListing(listingOf(pool), now));
    }
    leaders.values().forEach(leader -> leader.onTick(now));
  }

  private boolean refreshPools() {
    MachineList machines = parts.machines().get();
    ConfigurationImage configuration = parts.configuration().get();
    if (machines == listedMachines && configuration.version() == listedConfiguration) {
      return false;
    }
    listedMachines = machines;
    listedConfiguration = configuration.version();
    pools =
        PoolMap.of(
            machines,
            parts.parameters().maxMergedEngines(),
            parts.parameters().maxEnginesPerPool());
    return true;
  }

  private List<EngineListing> listingOf(PoolId pool) {
    return pools.listing(pool, parts.configuration().get()::isDrained);
  }
}
