package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.fallturn.core.pace.ServerLoad;

/**
 * What an engine says about itself in the headers of an answer to any call.
 *
 * @param leaving whether it is about to end and takes no new requests
 * @param rest how long the node that receives the answer must send it nothing (Retry-After)
 * @param perSecond rate limit: requests a second that it takes from all nodes together
 * @param unlimited whether it certainly has no rate limit: a successful answer that names none
 * @param load its load and how long the work takes
 * @param unreadable header values that could not be parsed as a time or number
 */
public record EngineNotice(
    boolean leaving,
    Optional<Duration> rest,
    OptionalDouble perSecond,
    boolean unlimited,
    Optional<ServerLoad> load,
    List<String> unreadable) {

  /** The notice of an answer that says nothing about its engine. */
  public static final EngineNotice NONE =
      new EngineNotice(
          false, Optional.empty(), OptionalDouble.empty(), false, Optional.empty(), List.of());

  /** Copies the list, so that the notice is immutable. */
  public EngineNotice {
    unreadable = List.copyOf(unreadable);
  }
}
