package org.fallturn.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeSet;

/**
 * The order of the requests of each service: by the priority of the tenant, and of those that are
 * equal by the priority of the route. Priorities that do not occur take no place, since engines
 * know only a few levels. Immutable.
 */
final class Ranking {

  private final List<Integer> tenantPriorities;
  private final Map<String, List<Integer>> routePriorities;

  Ranking(List<Route> routes, List<Integer> tenantPriorities) {
    this.tenantPriorities = tenantPriorities;
    Map<String, TreeSet<Integer>> found = new HashMap<>();
    for (Route route : routes) {
      for (WeightedService part : route.services()) {
        found.computeIfAbsent(part.service(), name -> new TreeSet<>()).add(route.priority());
      }
    }
    Map<String, List<Integer>> sorted = new HashMap<>();
    found.forEach((service, priorities) -> sorted.put(service, List.copyOf(priorities)));
    this.routePriorities = Map.copyOf(sorted);
  }

  /** The rank of a caller's request; callers without a priority go behind those that have one. */
  Rank of(Route route, Caller caller) {
    if (tenantPriorities.isEmpty()) {
      return Rank.of(route);
    }
    List<Integer> routes =
        routePriorities.getOrDefault(route.services().get(0).service(), List.of());
    OptionalInt own = caller.tenant().map(Tenant::priority).orElse(OptionalInt.empty());
    int tenantPlace =
        own.isPresent() ? tenantPriorities.indexOf(own.getAsInt()) : tenantPriorities.size() - 1;
    int routePlace = Math.max(0, routes.indexOf(route.priority()));
    int routePlaces = Math.max(1, routes.size());
    return new Rank(
        Math.max(0, tenantPlace) * routePlaces + routePlace, tenantPriorities.size() * routePlaces);
  }
}
