package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.ServingEngine;

/**
 * Engines that began to leave or lost their entry a short while ago. An engine serves on for some
 * time after either, and entries also lapse when the store was down, so that they are a last resort
 * for a service that has no other engine. One thread calls.
 */
final class RecentDepartures {

  private final long lifetimeNanos;
  private final Map<String, Departure> byId = new HashMap<>();

  private record Departure(ServingEngine engine, long untilNanos) {}

  RecentDepartures(long lifetimeNanos) {
    this.lifetimeNanos = lifetimeNanos;
  }

  /** Compares two lists. */
  void onChange(EngineDirectory before, EngineDirectory after, long nowNanos) {
    byId.values().removeIf(departure -> nowNanos - departure.untilNanos() >= 0);
    for (ServingEngine engine : before.all()) {
      boolean stays = after.find(engine.id()).filter(now -> !now.leaving()).isPresent();
      if (!engine.leaving() && !stays) {
        long usable = after.find(engine.id()).map(this::usableNanos).orElse(lifetimeNanos);
        byId.put(engine.id(), new Departure(engine, nowNanos + usable));
      }
    }
    after.all().stream().filter(engine -> !engine.leaving()).forEach(e -> byId.remove(e.id()));
  }

  /** One that says when it ends is not used up to its end. */
  private long usableNanos(ServingEngine leaving) {
    return leaving
        .leavesIn()
        .map(left -> Math.min(lifetimeNanos, left.toNanos() / 2))
        .orElse(lifetimeNanos);
  }

  /** Engines that left a short while ago. */
  Set<String> ids() {
    return byId.keySet();
  }

  /** Engines of a service that may still be used. */
  List<ServingEngine> recentlyLeft(String service, long nowNanos) {
    return byId.values().stream()
        .filter(departure -> nowNanos - departure.untilNanos() < 0)
        .map(Departure::engine)
        .filter(engine -> engine.service().equals(service))
        .toList();
  }
}
