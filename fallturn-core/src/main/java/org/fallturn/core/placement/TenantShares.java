package org.fallturn.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fallturn.core.domain.TenantName;

/**
 * What part of a pool each tenant holds, against its weighted share among the tenants that have
 * asked of late. A tenant alone has all of the pool as its share.
 */
final class TenantShares {
  private static final long ACTIVE_NANOS = 30_000_000_000L;

  private final Map<TenantName, Integer> held = new HashMap<>();
  private final LinkedHashMap<TenantName, Activity> active = new LinkedHashMap<>();
  private double activeWeight;

  /** A tenant asks for a place. */
  void asked(TenantName tenant, double weight, long nowNanos) {
    forget(tenant);
    active.put(tenant, new Activity(weight, nowNanos));
    activeWeight += weight;
    dropIdle(nowNanos);
  }

  private void dropIdle(long nowNanos) {
    Map.Entry<TenantName, Activity> oldest = active.entrySet().iterator().next();
    while (nowNanos - oldest.getValue().askedNanos > ACTIVE_NANOS) {
      forget(oldest.getKey());
      oldest = active.entrySet().iterator().next();
    }
  }

  private void forget(TenantName tenant) {
    Activity known = active.remove(tenant);
    if (known != null) {
      activeWeight = active.isEmpty() ? 0 : activeWeight - known.weight;
    }
  }

  void placed(TenantName tenant) {
    held.merge(tenant, 1, Integer::sum);
  }

  void released(TenantName tenant) {
    held.computeIfPresent(tenant, (name, count) -> count > 1 ? count - 1 : null);
  }

  /** Whether a tenant already holds its share of so many slots, or more. */
  boolean isAtShare(TenantName tenant, int slots) {
    Activity known = active.get(tenant);
    if (known == null || active.size() == 1) {
      return false;
    }
    return held.getOrDefault(tenant, 0) >= slots * known.weight / activeWeight;
  }

  /** When a tenant asked last, and its weight then. */
  private record Activity(double weight, long askedNanos) {}
}
