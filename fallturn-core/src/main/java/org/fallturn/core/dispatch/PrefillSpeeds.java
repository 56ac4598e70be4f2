package org.fallturn.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

/** Estimated prompt reading speed of the engines, by service. Confined to one thread. */
final class PrefillSpeeds {

  private final DoubleSupplier assumedTokensPerMilli;
  private final Map<String, PrefillSpeed> byService = new HashMap<>();

  /**
   * Creates an instance without learned speeds.
   *
   * @param assumedTokensPerMilli supplies the speed in tokens per ms that is assumed until the
   *     speed of a service is learned
   */
  PrefillSpeeds(DoubleSupplier assumedTokensPerMilli) {
    this.assumedTokensPerMilli = assumedTokensPerMilli;
  }

  PrefillSpeed of(String service) {
    return byService.computeIfAbsent(
        service, name -> new PrefillSpeed(assumedTokensPerMilli.getAsDouble()));
  }

  /**
   * Returns by service the speeds that this node has learned from enough prompts or has adopted
   * from another node.
   */
  Map<String, LearnedSpeed> learned() {
    Map<String, LearnedSpeed> learned = new HashMap<>();
    byService.forEach(
        (service, speed) -> speed.learned().ifPresent(value -> learned.put(service, value)));
    return learned;
  }
}
