package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.machines.Machine;

/**
 * In which order a node asks the pools of a model: the pools with engines in its own zone, then
 * those of its region with room by their digests, then others with room. Shards of one zone are
 * compared two at a time by free room. Pure.
 */
public final class SpillPlan {
  private final ZoneName zone;
  private final RegionName region;

  /** Plans for a node in this zone. */
  public SpillPlan(ZoneName zone, RegionName region) {
    this.zone = zone;
    this.region = region;
  }

  /**
   * The pools to ask, first choice first; empty when no engine is meant for the model.
   *
   * @param digests the newest digest of each pool, as far as known
   */
  public List<PoolId> order(
      PoolMap map, ModelName model, Map<PoolId, PoolDigest> digests, RandomGenerator random) {
    List<PoolId> own =
        new ArrayList<>(map.pools(model).stream().filter(p -> isOwn(map, p)).toList());
    List<PoolId> order = new ArrayList<>();
    takeBetterOfTwo(own, digests, random).ifPresent(order::add);
    List<PoolId> others = new ArrayList<>(map.pools(model));
    others.removeAll(order);
    others.removeIf(pool -> !order.isEmpty() && !hasRoom(digests.get(pool)));
    others.sort(
        Comparator.comparingInt((PoolId pool) -> distance(map, pool))
            .thenComparing(Comparator.comparingInt((PoolId p) -> -freeSlots(digests.get(p)))));
    order.addAll(others);
    return order;
  }

  /** Whether a digest says that the pool could take a request at once. */
  public static boolean hasRoom(PoolDigest digest) {
    return digest != null && digest.queued() == 0 && digest.freeDecodeSlots() > 0;
  }

  private boolean isOwn(PoolMap map, PoolId pool) {
    return distance(map, pool) == 0;
  }

  private int distance(PoolMap map, PoolId pool) {
    Set<ZoneName> zones = new HashSet<>();
    Set<RegionName> regions = new HashSet<>();
    for (Machine engine : map.engines(pool)) {
      zones.add(engine.zone());
      regions.add(engine.region());
    }
    if (zones.contains(zone)) {
      return 0;
    }
    return regions.contains(region) ? 1 : 2;
  }

  private static Optional<PoolId> takeBetterOfTwo(
      List<PoolId> pools, Map<PoolId, PoolDigest> digests, RandomGenerator random) {
    if (pools.isEmpty()) {
      return Optional.empty();
    }
    PoolId one = pools.get(random.nextInt(pools.size()));
    PoolId other = pools.get(random.nextInt(pools.size()));
    boolean otherIsFreer = freeSlots(digests.get(other)) > freeSlots(digests.get(one));
    return Optional.of(otherIsFreer ? other : one);
  }

  private static int freeSlots(PoolDigest digest) {
    return digest == null ? 0 : digest.freeDecodeSlots() - digest.queued();
  }
}
