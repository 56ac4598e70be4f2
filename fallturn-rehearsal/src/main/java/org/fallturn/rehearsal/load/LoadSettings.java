package org.fallturn.rehearsal.load;

import java.time.Duration;
import java.util.List;
import org.fallturn.core.domain.NetworkAddress;

/**
 * A load to play.
 *
 * @param nodes callers' ports, called in turn
 * @param classes kinds of requests, mixed
 * @param duration how long requests arrive
 * @param seed seed of arrivals and prompts; equal seeds give equal requests
 * @param maxInFlight requests above this number in progress are not sent, and counted as unsent
 * @param answerTimeout how long an answer may take in all
 */
public record LoadSettings(
    List<NetworkAddress> nodes,
    List<LoadClass> classes,
    Duration duration,
    long seed,
    int maxInFlight,
    Duration answerTimeout) {

  private static final int DEFAULT_MAX_IN_FLIGHT = 4096;
  private static final Duration DEFAULT_ANSWER_TIMEOUT = Duration.ofSeconds(60);

  /** Private copies; at least one node and one class. */
  public LoadSettings {
    nodes = List.copyOf(nodes);
    classes = List.copyOf(classes);
    if (nodes.isEmpty() || classes.isEmpty()) {
      throw new IllegalArgumentException("a load needs at least one node and one class");
    }
  }

  /** A load with the default bounds. */
  public static LoadSettings of(
      List<NetworkAddress> nodes, List<LoadClass> classes, Duration duration, long seed) {
    return new LoadSettings(
        nodes, classes, duration, seed, DEFAULT_MAX_IN_FLIGHT, DEFAULT_ANSWER_TIMEOUT);
  }
}
