package org.fallturn.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * One accepted version of routes, services and limits. Immutable. Versions rise in uneven steps;
 * {@code revision} is the position in the store's history that this version was read at, and it
 * alone orders two images.
 */
public final class RoutingImage {

  private final long revision;
  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<String, ServiceDefinition> services;
  private final RequestLimits limits;
  private final TenantKeys keys;
  private final Ranking ranking;
  private final Set<String> routeNames;

  /** An image without tenants. */
  public RoutingImage(
      long revision,
      long version,
      List<Route> routes,
      List<ServiceDefinition> services,
      RequestLimits limits) {
    this(revision, version, routes, services, limits, TenantKeys.none());
  }

  /**
   * An image.
   *
   * @param revision position in the store's history
   * @param version the operator's own number
   * @param keys the keys that callers may bear
   */
  public RoutingImage(
      long revision,
      long version,
      List<Route> routes,
      List<ServiceDefinition> services,
      RequestLimits limits,
      TenantKeys keys) {
    this.revision = revision;
    this.version = version;
    this.limits = limits;
    this.keys = keys;
    this.ranking = new Ranking(routes, keys.priorities());
    this.routeNames = routes.stream().map(Route::name).collect(Collectors.toUnmodifiableSet());
    this.routesByHost = byHost(routes);
    Map<String, ServiceDefinition> byName = new HashMap<>();
    services.forEach(service -> byName.put(service.name(), service));
    this.services = Map.copyOf(byName);
  }

  /** Longest prefix first, so that the first match is the route. */
  private static Map<String, List<Route>> byHost(List<Route> routes) {
    Map<String, List<Route>> grouped = new HashMap<>();
    for (Route route : routes) {
      grouped.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    grouped.values().forEach(list -> list.sort(longestFirst));
    return Map.copyOf(grouped);
  }

  /** Position in the store's history. */
  public long revision() {
    return revision;
  }

  /** The operator's own number of this version. */
  public long version() {
    return version;
  }

  /** Bounds on requests. */
  public RequestLimits limits() {
    return limits;
  }

  /** The keys that callers may bear. */
  public TenantKeys keys() {
    return keys;
  }

  /** The place of a caller's request among those of its service. */
  public Rank rank(Route route, Caller caller) {
    return ranking.of(route, caller);
  }

  /** How many routes there are. */
  public int routeCount() {
    return routeNames.size();
  }

  /** Names of the routes. */
  public Set<String> routeNames() {
    return routeNames;
  }

  /** Every service. */
  public Collection<ServiceDefinition> services() {
    return services.values();
  }

  /** A service by name. */
  public Optional<ServiceDefinition> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Whether this image replaces the other. */
  public boolean isNewerThan(RoutingImage other) {
    return revision > other.revision;
  }

  /**
   * The route with the longest prefix that begins the path.
   *
   * @param host as the caller names it; case and port do not matter
   * @param path path without query
   */
  public Optional<Route> match(String host, String path) {
    for (Route route : routesByHost.getOrDefault(hostName(host), List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String hostName(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon < 0 ? host : host.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }
}
