package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.WeightedService;

/**
 * Divides the requests of a route among its services by smooth weighted round robin: after any
 * number of requests, each service is within one request of its share. Changed weights start a new
 * rotation. Not thread-safe.
 */
final class ServiceSplit {

  private final Map<String, Rotation> rotations = new HashMap<>();

  /** Returns the service for the next request of the route. */
  String next(Route route) {
    List<WeightedService> services = route.services();
    if (services.size() == 1) {
      return services.get(0).service();
    }
    Rotation rotation = rotations.get(route.name());
    if (rotation == null || !rotation.services.equals(services)) {
      rotation = new Rotation(services);
      rotations.put(route.name(), rotation);
    }
    return rotation.next();
  }

  /** Forgets routes that no longer exist. */
  void retain(Set<String> routeNames) {
    rotations.keySet().retainAll(routeNames);
  }

  /** The rotation state of one route. */
  private static final class Rotation {

    private final List<WeightedService> services;
    private final long[] credit;
    private final long total;

    Rotation(List<WeightedService> services) {
      this.services = services;
      this.credit = new long[services.size()];
      this.total = services.stream().mapToLong(WeightedService::weight).sum();
    }

    String next() {
      int best = 0;
      for (int index = 0; index < credit.length; index++) {
        credit[index] += services.get(index).weight();
        if (credit[index] > credit[best]) {
          best = index;
        }
      }
      credit[best] -= total;
      return services.get(best).service();
    }
  }
}
