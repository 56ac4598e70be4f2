package org.fallturn.node.lease;

import java.util.Map;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.lease.LoadDemand;
import org.fallturn.core.orders.PoolOrderBook;

/** One leadership as the order duty keeps it. Owned by the order duty. */
final class LedPool {

  private final PoolOrderBook book;
  private Map<EngineId, NetworkAddress> addresses = Map.of();
  private boolean announced;
  private LoadDemand demand = LoadDemand.NONE;

  LedPool(PoolOrderBook book) {
    this.book = book;
  }

  PoolOrderBook book() {
    return book;
  }

  void engines(Map<EngineId, NetworkAddress> present, long nowNanos) {
    if (!present.equals(addresses)) {
      addresses = Map.copyOf(present);
      book.onEngines(addresses.keySet(), nowNanos);
    }
  }

  NetworkAddress address(EngineId engine) {
    return addresses.get(engine);
  }

  /** True once, when the listener can be told of the leadership. */
  boolean becomesAnnounced() {
    if (announced || !book.isFencingAttempted()) {
      return false;
    }
    announced = true;
    return true;
  }

  /** Whether the demand differs from the one before. */
  boolean updateDemand(LoadDemand present) {
    boolean changed = !present.equals(demand);
    demand = present;
    return changed;
  }

  boolean wantsLoads() {
    return demand.waiting() > 0;
  }
}
