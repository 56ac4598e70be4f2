package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.LoadReport;

/**
 * One pool a zone, each with its own exact scheduler, and a way to even out load between them: not
 * at all, by sending a request to a pool whose digest shows room, or by idle pools that pull
 * waiting requests from others, at random or guided by digests. A baseline beside one merged pool;
 * the digests are as old as the given lag. Used by one thread.
 */
public final class ZonePoolsPlacement implements PlacementPolicy {
  /** How load is evened out between the pools. */
  public enum Balance {
    /** A request stays in the pool of the zone it came in at. */
    NONE,
    /** A request that finds no room is sent on to the pool whose digest shows the most room. */
    PUSH,
    /** An idle pool asks a random other one for a waiting request. */
    PULL_RANDOM,
    /** An idle pool asks the one whose digest shows the longest queue. */
    PULL_INFORMED
  }

  private final ModelName model;
  private final Balance balance;
  private final PlacementParameters parameters;
  private final long digestLagNanos;
  private final long pullNanos;
  private final double firstZoneShare;
  private final RandomGenerator random;
  private final Map<ZoneName, ZonePool> pools = new TreeMap<>();
  private final Map<EngineId, ZonePool> poolOfEngine = new HashMap<>();
  private final Map<RequestId, ZonePool> poolOfRequest = new LinkedHashMap<>();

  /**
   * Pools that know no engine yet.
   *
   * @param digestLagNanos age of the digests that a pool sees of another
   * @param pullNanos time that one attempt to pull takes
   * @param firstZoneShare share of the requests that come in at the first zone; the other zones
   *     divide the rest evenly
   */
  public ZonePoolsPlacement(
      ModelName model,
      Balance balance,
      PlacementParameters parameters,
      long digestLagNanos,
      long pullNanos,
      double firstZoneShare,
      RandomGenerator random) {
    this.model = model;
    this.balance = balance;
    this.parameters = parameters;
    this.digestLagNanos = digestLagNanos;
    this.pullNanos = pullNanos;
    this.firstZoneShare = firstZoneShare;
    this.random = random;
  }

  @Override
  public void onListing(List<EngineListing> listing, long nowNanos) {
    Map<ZoneName, List<EngineListing>> byZone = new TreeMap<>();
    listing.forEach(e -> byZone.computeIfAbsent(e.zone(), z -> new ArrayList<>()).add(e));
    byZone.forEach(
        (zone, engines) -> {
          ZonePool pool = pools.computeIfAbsent(zone, z -> new ZonePool(z, nowNanos));
          pool.scheduler.onListing(engines, nowNanos);
          engines.forEach(engine -> poolOfEngine.put(engine.engine(), pool));
        });
  }

  @Override
  public void onEngineState(EngineState state, long nowNanos) {
    poolOfEngine.get(state.engine()).scheduler.onEngineState(state, nowNanos);
  }

  @Override
  public void onEngineUnreachable(EngineId engine, long nowNanos) {
    poolOfEngine.get(engine).scheduler.onEngineUnreachable(engine, nowNanos);
  }

  @Override
  public void onLoadReport(LoadReport report, long nowNanos) {
    poolOfEngine.get(report.engine()).scheduler.onLoadReport(report, nowNanos);
  }

  @Override
  public void onCacheEvents(EngineId engine, CacheEvents events, long nowNanos) {
    poolOfEngine.get(engine).scheduler.onCacheEvents(engine, events, nowNanos);
  }

  @Override
  public void submit(PlacementRequest request, long nowNanos) {
    ZonePool home = home();
    ZonePool pool = balance == Balance.PUSH ? withRoom(home, nowNanos) : home;
    poolOfRequest.put(request.requestId(), pool);
    pool.scheduler.submit(request, nowNanos);
    settle(nowNanos);
  }

  private ZonePool home() {
    List<ZonePool> all = List.copyOf(pools.values());
    if (all.size() == 1 || random.nextDouble() < firstZoneShare) {
      return all.get(0);
    }
    return all.get(1 + random.nextInt(all.size() - 1));
  }

  /** The home pool while it has room, else the one whose digest shows the most. */
  private ZonePool withRoom(ZonePool home, long nowNanos) {
    PoolCapacity own = home.scheduler.capacity();
    if (own.queued() == 0 && own.freeDecodeSlots() > 0) {
      return home;
    }
    Optional<ZonePool> freest =
        pools.values().stream()
            .filter(pool -> pool != home)
            .filter(pool -> pool.seen(nowNanos).queued() == 0)
            .max(Comparator.comparingInt(pool -> pool.seen(nowNanos).freeDecodeSlots()));
    return freest.filter(pool -> pool.seen(nowNanos).freeDecodeSlots() > 0).orElse(home);
  }

  @Override
  public void onProgress(PlacementProgress progress, long nowNanos) {
    ZonePool pool = poolOfRequest.get(progress.requestId());
    if (pool != null) {
      pool.scheduler.onProgress(progress, nowNanos);
      if (progress.stage() != PlacementProgress.Stage.PREFILLED) {
        poolOfRequest.remove(progress.requestId());
      }
      settle(nowNanos);
    }
  }

  @Override
  public void advance(long nowNanos) {
    pools.values().forEach(pool -> pool.scheduler.advance(nowNanos));
    settle(nowNanos);
  }

  private void settle(long nowNanos) {
    if (balance == Balance.PULL_RANDOM || balance == Balance.PULL_INFORMED) {
      pools.values().forEach(pool -> pull(pool, nowNanos));
    }
    pools.values().forEach(pool -> pool.digest.record(pool.scheduler.capacity(), nowNanos));
  }

  private void pull(ZonePool idle, long nowNanos) {
    PoolCapacity own = idle.scheduler.capacity();
    boolean hasRoom = own.queued() == 0 && own.freeDecodeSlots() > 0;
    if (!hasRoom || nowNanos < idle.nextPullNanos) {
      return;
    }
    Optional<ZonePool> victim = victim(idle, nowNanos);
    if (victim.isEmpty()) {
      return;
    }
    idle.nextPullNanos = nowNanos + pullNanos;
    victim
        .get()
        .scheduler
        .giveAway(nowNanos)
        .ifPresent(
            request -> {
              poolOfRequest.put(request.requestId(), idle);
              idle.scheduler.submit(request, nowNanos);
            });
  }

  private Optional<ZonePool> victim(ZonePool idle, long nowNanos) {
    List<ZonePool> others = pools.values().stream().filter(pool -> pool != idle).toList();
    if (others.isEmpty()) {
      return Optional.empty();
    }
    if (balance == Balance.PULL_RANDOM) {
      return Optional.of(others.get(random.nextInt(others.size())));
    }
    return others.stream()
        .filter(pool -> pool.seen(nowNanos).queued() > 0)
        .max(Comparator.comparingInt(pool -> pool.seen(nowNanos).queued()));
  }

  @Override
  public List<PlacementDecision> takeDecisions() {
    List<PlacementDecision> decisions = new ArrayList<>();
    for (ZonePool pool : pools.values()) {
      decisions.addAll(pool.scheduler.takeDecisions());
    }
    for (PlacementDecision decision : decisions) {
      if (!(decision.answer() instanceof PlacementAnswer.Placed)) {
        poolOfRequest.remove(decision.requestId());
      }
    }
    return decisions;
  }

  /** One zone's pool. */
  private final class ZonePool {
    private final PoolScheduler scheduler;
    private final DelayedCapacity digest = new DelayedCapacity(digestLagNanos);
    private long nextPullNanos;

    private ZonePool(ZoneName zone, long nowNanos) {
      PoolId id = new PoolId(zone, model, 0);
      scheduler = new PoolScheduler(id, new Epoch(1), parameters, nowNanos);
    }

    private PoolCapacity seen(long nowNanos) {
      return digest.visible(nowNanos);
    }
  }
}
