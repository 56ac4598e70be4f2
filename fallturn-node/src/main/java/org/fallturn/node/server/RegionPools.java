package org.fallturn.node.server;

import java.util.List;
import java.util.function.Supplier;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.placement.PlacementParameters;
import org.fallturn.core.placement.PoolMap;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.lease.PoolEngines;

/** The pools of one region, worked out anew only when the machine list has changed. Thread-safe. */
final class RegionPools implements Supplier<List<PoolEngines>> {

  private final RegionName region;
  private final Supplier<MachineList> machines;
  private final PlacementParameters parameters;
  private volatile Snapshot snapshot = new Snapshot(null, List.of());

  private record Snapshot(MachineList source, List<PoolEngines> pools) {}

  RegionPools(RegionName region, Supplier<MachineList> machines, PlacementParameters parameters) {
    this.region = region;
    this.machines = machines;
    this.parameters = parameters;
  }

  @Override
  public List<PoolEngines> get() {
    MachineList list = machines.get();
    Snapshot current = snapshot;
    if (current.source() != list) {
      current = new Snapshot(list, poolsOf(list));
      snapshot = current;
    }
    return current.pools();
  }

  private List<PoolEngines> poolsOf(MachineList list) {
    PoolMap map = PoolMap.of(list, parameters.maxMergedEngines(), parameters.maxEnginesPerPool());
    return map.pools().stream()
        .map(pool -> new PoolEngines(pool, map.engines(pool)))
        .filter(pool -> pool.engines().get(0).region().equals(region))
        .toList();
  }
}
