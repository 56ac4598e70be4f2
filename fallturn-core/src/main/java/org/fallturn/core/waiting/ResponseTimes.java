package org.fallturn.core.waiting;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Mean response times of the engines for each service in ms, as exponentially weighted moving
 * averages. One thread calls.
 */
public final class ResponseTimes {

  /**
   * Weight of one observation: a change is known after about ten, and a single long response has
   * little effect.
   */
  private static final double WEIGHT = 0.1;

  private final Map<String, Double> responseMillis = new HashMap<>();
  private final Map<String, Double> uncontendedMillis = new HashMap<>();

  /**
   * Adds the response time of a request.
   *
   * @param service service of the request
   * @param millis time in ms between sending the request and its answer
   * @param crowded whether the request may have waited at the engine for others
   */
  public void observe(String service, double millis, boolean crowded) {
    updateMean(responseMillis, service, millis);
    if (!crowded) {
      updateMean(uncontendedMillis, service, millis);
    }
  }

  private static void updateMean(Map<String, Double> means, String service, double millis) {
    means.merge(service, millis, (old, now) -> old + WEIGHT * (now - old));
  }

  /**
   * Returns the mean response time in ms of requests that did not have to wait at the engine; empty
   * until one has been seen.
   */
  public OptionalDouble workMillis(String service) {
    Double millis = uncontendedMillis.get(service);
    return millis == null ? OptionalDouble.empty() : OptionalDouble.of(millis);
  }

  /**
   * Returns how many requests nodes send to the engines within a period, by Little's law.
   *
   * @param service service of the requests
   * @param present number of requests that these nodes have at the engines now
   * @param millis length of the period in ms
   */
  public double arrivalsWithin(String service, int present, double millis) {
    double response = Math.max(1, responseMillis.getOrDefault(service, millis));
    return present * millis / response;
  }
}
