package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.ServingEngine;

/**
 * Engines that recently began to leave or lost their directory entry. An engine goes on serving for
 * some time after either event, and entries also expire while the store is down. A service that has
 * no other engine therefore uses them as a last resort. Confined to one thread.
 */
final class RecentDepartures {

  private final long usableForNanos;
  private final Map<String, Departure> byId = new HashMap<>();

  private record Departure(ServingEngine engine, long untilNanos) {}

  RecentDepartures(long usableForNanos) {
    this.usableForNanos = usableForNanos;
  }

  /**
   * Records the engines that served in the old directory and that are leaving or missing in the new
   * one. Removes those that are back or whose time is over.
   */
  void onChange(EngineDirectory before, EngineDirectory after, long nowNanos) {
    byId.values().removeIf(departure -> nowNanos - departure.untilNanos() >= 0);
    for (ServingEngine engine : before.all()) {
      boolean stays = after.find(engine.id()).filter(now -> !now.leaving()).isPresent();
      if (!engine.leaving() && !stays) {
        long usable = after.find(engine.id()).map(this::usableNanos).orElse(usableForNanos);
        byId.put(engine.id(), new Departure(engine, nowNanos + usable));
      }
    }
    after.all().stream().filter(engine -> !engine.leaving()).forEach(e -> byId.remove(e.id()));
  }

  /**
   * Returns how long a leaving engine may still be used, in ns. If the engine announces when it
   * ends, this is at most half of the remaining time, so that it is not used up to its end.
   */
  private long usableNanos(ServingEngine leaving) {
    return leaving
        .leavesIn()
        .map(left -> left.dividedBy(2))
        .filter(half -> half.compareTo(Duration.ofNanos(usableForNanos)) < 0)
        .map(Duration::toNanos)
        .orElse(usableForNanos);
  }

  /** Returns the ids of the engines that left recently. */
  Set<String> ids() {
    return byId.keySet();
  }

  /** Returns the engines of a service that left recently and may still be used. */
  List<ServingEngine> recentlyLeft(String service, long nowNanos) {
    return byId.values().stream()
        .filter(departure -> nowNanos - departure.untilNanos() < 0)
        .map(Departure::engine)
        .filter(engine -> engine.service().equals(service))
        .toList();
  }
}
