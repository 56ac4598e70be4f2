package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/** How fast the engines of each service read. One thread calls. */
final class PrefillSpeeds {

  private final DoubleSupplier assumedTokensPerMilli;
  private final Map<String, PrefillSpeed> byService = new HashMap<>();

  /**
   * Nothing is learned yet.
   *
   * @param assumedTokensPerMilli what a service begins with
   */
  PrefillSpeeds(DoubleSupplier assumedTokensPerMilli) {
    this.assumedTokensPerMilli = assumedTokensPerMilli;
  }

  PrefillSpeed of(String service) {
    return byService.computeIfAbsent(
        service, name -> new PrefillSpeed(assumedTokensPerMilli.getAsDouble()));
  }

  /** By service, as far as this node has learned it itself. */
  Map<String, LearnedSpeed> learned() {
    Map<String, LearnedSpeed> learned = new HashMap<>();
    byService.forEach(
        (service, speed) -> speed.learned().ifPresent(known -> learned.put(service, known)));
    return learned;
  }
}
