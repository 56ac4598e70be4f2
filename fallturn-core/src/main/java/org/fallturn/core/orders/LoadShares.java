package org.fallturn.core.orders;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.LoadDemand;

/**
 * Distributes the load slots of the weight store, which holds the model weights, among the pools
 * that want to load. Every leader computes the same shares from the demands in the lease rows.
 * Slots go one by one to the pool that has had the fewest loads so far, so that no pool starves and
 * the sum never exceeds the total. Stateless.
 */
public final class LoadShares {

  private LoadShares() {}

  /**
   * Returns how many engines of each pool may load at the same time.
   *
   * @param demands demand of each pool
   * @param totalSlots number of simultaneous loads that the weight store can serve
   */
  public static Map<PoolId, Integer> of(Map<PoolId, LoadDemand> demands, int totalSlots) {
    Map<PoolId, Integer> shares = new HashMap<>();
    Comparator<PoolId> byLoadsSoFar =
        Comparator.<PoolId>comparingLong(
                pool -> demands.get(pool).started() + shares.getOrDefault(pool, 0))
            .thenComparing(Comparator.naturalOrder());
    for (int slot = 0; slot < totalSlots; slot++) {
      List<PoolId> waitingPools =
          demands.keySet().stream()
              .filter(pool -> shares.getOrDefault(pool, 0) < demands.get(pool).waiting())
              .sorted(byLoadsSoFar)
              .toList();
      if (waitingPools.isEmpty()) {
        return shares;
      }
      shares.merge(waitingPools.get(0), 1, Integer::sum);
    }
    return shares;
  }
}
