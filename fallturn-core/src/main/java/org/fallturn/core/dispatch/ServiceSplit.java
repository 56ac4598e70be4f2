package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.WeightedService;

/**
 * Divides a route's requests among its services by smooth weighted round robin: after any run of
 * requests each service is within one request of its share. A change of the weights starts anew.
 * One thread calls.
 */
final class ServiceSplit {

  private final Map<String, Turn> turns = new HashMap<>();

  /** The service that the next request of the route goes to. */
  String next(Route route) {
    List<WeightedService> services = route.services();
    if (services.size() == 1) {
      return services.get(0).service();
    }
    Turn turn = turns.get(route.name());
    if (turn == null || !turn.services.equals(services)) {
      turn = new Turn(services);
      turns.put(route.name(), turn);
    }
    return turn.next();
  }

  /** Forgets routes that are gone. */
  void retain(Set<String> routeNames) {
    turns.keySet().retainAll(routeNames);
  }

  /** Where the round of one route stands. */
  private static final class Turn {

    private final List<WeightedService> services;
    private final long[] credit;
    private final long total;

    Turn(List<WeightedService> services) {
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
