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
import org.fallturn.core.port.feed.StorePosition;

/**
 * A snapshot of the routes, services, limits and tenant keys of one accepted version of the
 * configuration. Immutable. Within an era of the store the position at which the configuration was
 * read orders two images. A restored store may hold an older configuration than the one in force
 * until the operator writes it again, so across eras the operator's version number decides.
 */
public final class RoutingImage {

  private final StorePosition position;
  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<String, ServiceDefinition> services;
  private final RequestLimits limits;
  private final TenantKeys keys;
  private final Ranking ranking;
  private final Set<String> routeNames;

  /** Creates an image without tenants. */
  public RoutingImage(
      StorePosition position,
      long version,
      List<Route> routes,
      List<ServiceDefinition> services,
      RequestLimits limits) {
    this(position, version, routes, services, limits, TenantKeys.none());
  }

  /**
   * Creates an image.
   *
   * @param position position in the history of the store at which the configuration was read
   * @param version number that the operator gave to this version
   * @param routes all routes
   * @param services all services
   * @param limits limits on requests
   * @param keys the keys of tenants, by which callers are authenticated
   */
  public RoutingImage(
      StorePosition position,
      long version,
      List<Route> routes,
      List<ServiceDefinition> services,
      RequestLimits limits,
      TenantKeys keys) {
    this.position = position;
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

  /**
   * Sorts the routes of each host by prefix, longest first, so that the first match is the route.
   */
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

  /** Returns the position in the history of the store at which the configuration was read. */
  public StorePosition position() {
    return position;
  }

  /** Returns the number that the operator gave to this version. */
  public long version() {
    return version;
  }

  /** Returns the limits on requests. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns the keys of tenants, by which callers are authenticated. */
  public TenantKeys keys() {
    return keys;
  }

  /** Returns the priority level of a caller's request among the requests of its service. */
  public Rank rank(Route route, Caller caller) {
    return ranking.of(route, caller);
  }

  /** Returns the number of distinct route names. */
  public int routeCount() {
    return routeNames.size();
  }

  /** Returns the names of all routes. */
  public Set<String> routeNames() {
    return routeNames;
  }

  /** Returns all routes, in no particular order. */
  public List<Route> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /** Returns all services. */
  public Collection<ServiceDefinition> services() {
    return services.values();
  }

  /** Returns the service with this name. */
  public Optional<ServiceDefinition> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether this image replaces the other. */
  public boolean isNewerThan(RoutingImage other) {
    if (position.isOfLaterEraThan(other.position)) {
      return version >= other.version;
    }
    return position.isAfter(other.position);
  }

  /**
   * Returns the route of this host that has the longest prefix of the path.
   *
   * @param host host as the caller sent it; case and port are ignored
   * @param path path of the request without its query
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
