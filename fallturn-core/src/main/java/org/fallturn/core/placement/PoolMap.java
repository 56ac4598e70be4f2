package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;

/**
 * Which engine of the machine list belongs to which pool. Immutable. A region's engines of one
 * model form one pool while they are few, named after the first of their zones, because a pool of
 * one or two engines leaves no choice of roles. Otherwise each zone's engines of one model form one
 * pool; past the bound they are split by a hash of the engine's name over a power of two of shards.
 * One engine's coming or going moves no other one as long as the number of shards stays, and when
 * it doubles an engine stays or moves to the shard that its old one was split into.
 */
public final class PoolMap {
  private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
  private static final int HASH_SHIFT = 32;

  private final Map<PoolId, List<Machine>> pools;
  private final Map<EngineId, PoolId> poolOfEngine;

  private PoolMap(Map<PoolId, List<Machine>> pools, Map<EngineId, PoolId> poolOfEngine) {
    this.pools = pools;
    this.poolOfEngine = poolOfEngine;
  }

  /** The pools of a machine list. */
  public static PoolMap of(MachineList list, int maxMergedEngines, int maxEnginesPerPool) {
    Map<PoolId, List<Machine>> unsplit = new TreeMap<>();
    regions(list).values().forEach(engines -> groupByZone(engines, maxMergedEngines, unsplit));
    Map<PoolId, List<Machine>> pools = new TreeMap<>();
    Map<EngineId, PoolId> poolOfEngine = new TreeMap<>();
    unsplit.forEach(
        (pool, engines) -> split(pool, engines, maxEnginesPerPool, pools, poolOfEngine));
    return new PoolMap(pools, poolOfEngine);
  }

  private static Map<String, List<Machine>> regions(MachineList list) {
    Map<String, List<Machine>> regions = new TreeMap<>();
    for (Machine machine : list.machines()) {
      if (machine.kind() == Machine.Kind.ENGINE && machine.model().isPresent()) {
        String region = machine.region().value() + "/" + machine.model().get().value();
        regions.computeIfAbsent(region, key -> new ArrayList<>()).add(machine);
      }
    }
    return regions;
  }

  private static void groupByZone(
      List<Machine> engines, int maxMergedEngines, Map<PoolId, List<Machine>> unsplit) {
    boolean merged = engines.size() <= maxMergedEngines;
    ZoneName home = engines.stream().map(Machine::zone).min(Comparator.naturalOrder()).get();
    for (Machine engine : engines) {
      PoolId pool = new PoolId(merged ? home : engine.zone(), engine.model().get(), 0);
      unsplit.computeIfAbsent(pool, key -> new ArrayList<>()).add(engine);
    }
  }

  private static void split(
      PoolId whole,
      List<Machine> engines,
      int maxEngines,
      Map<PoolId, List<Machine>> pools,
      Map<EngineId, PoolId> poolOfEngine) {
    int shards = 1;
    while (engines.size() > shards * maxEngines) {
      shards *= 2;
    }
    engines.sort(Comparator.comparing(Machine::id));
    for (Machine engine : engines) {
      PoolId pool = new PoolId(whole.zone(), whole.model(), shardOf(engine.id(), shards));
      pools.computeIfAbsent(pool, key -> new ArrayList<>()).add(engine);
      poolOfEngine.put(new EngineId(engine.id()), pool);
    }
  }

  private static int shardOf(String engine, int shards) {
    long mixed = engine.hashCode() * HASH_MULTIPLIER;
    return (int) ((mixed >>> HASH_SHIFT) & (shards - 1));
  }

  /** All pools, in the order of their names. */
  public List<PoolId> pools() {
    return List.copyOf(pools.keySet());
  }

  /** The pools of a model that have an engine in a zone. */
  public List<PoolId> pools(ZoneName zone, ModelName model) {
    return pools(model).stream().filter(pool -> hasEngineIn(pool, zone)).toList();
  }

  private boolean hasEngineIn(PoolId pool, ZoneName zone) {
    return pools.get(pool).stream().anyMatch(engine -> engine.zone().equals(zone));
  }

  /** The pools of a model, in every zone. */
  public List<PoolId> pools(ModelName model) {
    return pools.keySet().stream().filter(pool -> pool.model().equals(model)).toList();
  }

  /** The engines of a pool, in the order of their names; empty for an unknown pool. */
  public List<Machine> engines(PoolId pool) {
    return List.copyOf(pools.getOrDefault(pool, List.of()));
  }

  /** The engines of a pool as the scheduler takes them, with the operators' drains. */
  public List<EngineListing> listing(PoolId pool, Predicate<String> isDrained) {
    return engines(pool).stream()
        .map(
            machine ->
                new EngineListing(
                    new EngineId(machine.id()),
                    machine.zone(),
                    machine.address(),
                    machine.state() == Machine.State.LEAVING,
                    isDrained.test(machine.id())))
        .toList();
  }

  /** The pool an engine belongs to. */
  public Optional<PoolId> poolOf(EngineId engine) {
    return Optional.ofNullable(poolOfEngine.get(engine));
  }
}
