package org.fallturn.node.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.fallturn.core.pace.ServerLoad;

/**
 * What an engine says of itself in the head of an answer, whatever the answer is to.
 *
 * @param leaving whether it is about to end and wants no new requests
 * @param rest for how long it wants nothing from the node that it answers
 * @param perSecond requests a second that it takes from all nodes together
 * @param unlimited whether it surely takes any number: a good answer of its own that names none
 * @param load what it has to do, and how long that takes
 * @param unreadable what stands in the place of a time or a number and is none
 */
public record EngineNotice(
    boolean leaving,
    Optional<Duration> rest,
    OptionalDouble perSecond,
    boolean unlimited,
    Optional<ServerLoad> load,
    List<String> unreadable) {

  /** It says nothing of itself. */
  public static final EngineNotice NONE =
      new EngineNotice(
          false, Optional.empty(), OptionalDouble.empty(), false, Optional.empty(), List.of());

  /** A private copy of the list. */
  public EngineNotice {
    unreadable = List.copyOf(unreadable);
  }
}
