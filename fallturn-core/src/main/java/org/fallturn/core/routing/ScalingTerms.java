package org.fallturn.core.routing;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The limits and prices within which the planner may order engines of a service.
 *
 * @param least the smallest number of engines in a zone, own engines and those on loan together
 * @param most the largest number of engines in a zone, own engines and those on loan together
 * @param boot time from ordering an engine until it serves requests
 * @param loanPrice price of an engine on loan (a spot instance) as a fraction of the price of an
 *     own engine; empty when there are no loans
 * @param priceByZone relative price of an engine by zone
 */
public record ScalingTerms(
    int least, int most, Duration boot, OptionalDouble loanPrice, Map<String, Double> priceByZone) {

  /** Copies the prices. */
  public ScalingTerms {
    priceByZone = Map.copyOf(priceByZone);
  }

  /** Returns the relative price of an engine in a zone; 1 when the configuration gives none. */
  public double zonePrice(String zone) {
    return priceByZone.getOrDefault(zone, 1.0);
  }
}
