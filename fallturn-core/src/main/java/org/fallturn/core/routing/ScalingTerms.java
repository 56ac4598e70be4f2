package org.fallturn.core.routing;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * On which terms engines of a service may be ordered.
 *
 * @param least the fewest engines of a zone, of both kinds together
 * @param most the most engines of a zone, of both kinds together
 * @param boot how long a new engine takes to serve
 * @param loanPrice price of an engine on loan as a part of that of another; empty where none are
 * @param priceByZone price of an engine by zone
 */
public record ScalingTerms(
    int least, int most, Duration boot, OptionalDouble loanPrice, Map<String, Double> priceByZone) {

  /** A private copy. */
  public ScalingTerms {
    priceByZone = Map.copyOf(priceByZone);
  }

  /** The price of an engine in a zone; that of most zones where none is given. */
  public double zonePrice(String zone) {
    return priceByZone.getOrDefault(zone, 1.0);
  }
}
