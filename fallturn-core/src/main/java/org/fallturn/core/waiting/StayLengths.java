package org.fallturn.core.waiting;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * How long requests of each service stay at an engine, waiting there included. One thread calls.
 */
public final class StayLengths {

  /** Weight of one observation: a change is known after some ten, and one long stay says little. */
  private static final double WEIGHT = 0.1;

  private final Map<String, Double> millisByService = new HashMap<>();

  /** A request was answered so long after it had been sent. */
  public void observe(String service, double millis) {
    millisByService.merge(service, millis, (old, now) -> old + WEIGHT * (now - old));
  }

  /** Mean of late; empty while none has been answered. */
  public OptionalDouble meanMillis(String service) {
    Double millis = millisByService.get(service);
    return millis == null ? OptionalDouble.empty() : OptionalDouble.of(millis);
  }

  /**
   * How many requests all nodes together send there within a time, by Little's law.
   *
   * @param present requests there now
   * @param millis the time
   */
  public double sentWithin(String service, int present, double millis) {
    double stay = Math.max(1, meanMillis(service).orElse(millis));
    return present * millis / stay;
  }
}
