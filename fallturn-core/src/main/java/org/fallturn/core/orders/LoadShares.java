package org.fallturn.core.orders;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.LoadDemand;

/**
 * Shares the weight store among the pools that want to load. Every leader computes the same shares
 * from the demands in the lease rows: slots go one by one to the pool that has had the fewest so
 * far, so that no pool starves and the sum never passes the total. Pure.
 */
public final class LoadShares {

  private LoadShares() {}

  /**
   * How many engines each pool may load at once.
   *
   * @param demands what each pool wants
   * @param totalSlots loads at once that the weight store is good for
   */
  public static Map<PoolId, Integer> of(Map<PoolId, LoadDemand> demands, int totalSlots) {
    Map<PoolId, Integer> shares = new HashMap<>();
    Comparator<PoolId> byNeed =
        Comparator.<PoolId>comparingLong(
                pool -> demands.get(pool).started() + shares.getOrDefault(pool, 0))
            .thenComparing(Comparator.naturalOrder());
    for (int slot = 0; slot < totalSlots; slot++) {
      List<PoolId> wanting =
          demands.keySet().stream()
              .filter(pool -> shares.getOrDefault(pool, 0) < demands.get(pool).waiting())
              .sorted(byNeed)
              .toList();
      if (wanting.isEmpty()) {
        return shares;
      }
      shares.merge(wanting.get(0), 1, Integer::sum);
    }
    return shares;
  }
}
