package org.fallturn.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeSet;

/**
 * Computes the priority level of a request within its service: by the priority of the tenant first,
 * and by the priority of the route among equal tenants. Levels are numbered without gaps, so that a
 * priority that nothing has takes no level; engines know only a few levels. Immutable.
 */
final class Ranking {

  private final List<Integer> tenantPriorities;
  private final Map<String, List<Integer>> routePriorities;

  /**
   * Creates the ranking of one configuration.
   *
   * @param routes all routes
   * @param tenantPriorities the distinct priorities of tenants, the most urgent first
   */
  Ranking(List<Route> routes, List<Integer> tenantPriorities) {
    this.tenantPriorities = tenantPriorities;
    Map<String, TreeSet<Integer>> prioritiesByService = new HashMap<>();
    for (Route route : routes) {
      for (WeightedService weighted : route.services()) {
        prioritiesByService
            .computeIfAbsent(weighted.service(), name -> new TreeSet<>())
            .add(route.priority());
      }
    }
    Map<String, List<Integer>> sorted = new HashMap<>();
    prioritiesByService.forEach(
        (service, priorities) -> sorted.put(service, List.copyOf(priorities)));
    this.routePriorities = Map.copyOf(sorted);
  }

  /**
   * Returns the level of a request. A caller without a priority gets that of the least urgent
   * tenant.
   */
  Rank of(Route route, Caller caller) {
    if (tenantPriorities.isEmpty()) {
      return Rank.of(route);
    }
    List<Integer> routes =
        routePriorities.getOrDefault(route.services().get(0).service(), List.of());
    OptionalInt tenantPriority = caller.tenant().map(Tenant::priority).orElse(OptionalInt.empty());
    int tenantLevel =
        tenantPriority.isPresent()
            ? tenantPriorities.indexOf(tenantPriority.getAsInt())
            : tenantPriorities.size() - 1;
    int routeLevel = Math.max(0, routes.indexOf(route.priority()));
    int routeLevels = Math.max(1, routes.size());
    return new Rank(
        Math.max(0, tenantLevel) * routeLevels + routeLevel, tenantPriorities.size() * routeLevels);
  }
}
