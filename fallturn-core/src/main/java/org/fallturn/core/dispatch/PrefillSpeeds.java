package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/** The speeds at which the engines of each service read prompts. Confined to one thread. */
final class PrefillSpeeds {

  private final DoubleSupplier assumedTokensPerMilli;
  private final Map<String, PrefillSpeed> byService = new HashMap<>();

  /**
   * Creates an instance that has learned nothing.
   *
   * @param assumedTokensPerMilli gives the speed in tokens per ms that is assumed until the speed
   *     of a service is learned
   */
  PrefillSpeeds(DoubleSupplier assumedTokensPerMilli) {
    this.assumedTokensPerMilli = assumedTokensPerMilli;
  }

  PrefillSpeed of(String service) {
    return byService.computeIfAbsent(
        service, name -> new PrefillSpeed(assumedTokensPerMilli.getAsDouble()));
  }

  /**
   * Returns the speeds by service that this node has learned from enough prompts or has taken over
   * from another node.
   */
  Map<String, LearnedSpeed> learned() {
    Map<String, LearnedSpeed> learned = new HashMap<>();
    byService.forEach(
        (service, speed) -> speed.learned().ifPresent(known -> learned.put(service, known)));
    return learned;
  }
}
