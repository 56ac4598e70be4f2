package org.fallturn.core.waiting;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/** How long requests of each service stay at an engine, in ms. One thread calls. */
public final class ResponseTimes {

  /** Weight of one observation: a change is known after some ten, and one long stay says little. */
  private static final double WEIGHT = 0.1;

  private final Map<String, Double> stays = new HashMap<>();
  private final Map<String, Double> works = new HashMap<>();

  /**
   * A request was answered so long after it had been sent.
   *
   * @param crowded whether it may have waited at the engine for others
   */
  public void observe(String service, double millis, boolean crowded) {
    smooth(stays, service, millis);
    if (!crowded) {
      smooth(works, service, millis);
    }
  }

  private static void smooth(Map<String, Double> means, String service, double millis) {
    means.merge(service, millis, (old, now) -> old + WEIGHT * (now - old));
  }

  /** Mean time of a request for which there was room at once; empty while none has been seen. */
  public OptionalDouble workMillis(String service) {
    Double millis = works.get(service);
    return millis == null ? OptionalDouble.empty() : OptionalDouble.of(millis);
  }

  /**
   * How many requests all nodes together send there within a time, by Little's law.
   *
   * @param present requests there now
   * @param millis the time
   */
  public double arrivalsWithin(String service, int present, double millis) {
    double stay = Math.max(1, stays.getOrDefault(service, millis));
    return present * millis / stay;
  }
}
