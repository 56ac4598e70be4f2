package org.fallturn.core.placement;

import java.util.Comparator;
import java.util.Optional;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.EngineRole;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.engine.EngineState;

/**
 * What the leader knows of one engine: its last told state and the exact count of the work placed
 * on it. Its place in the sets of {@link EngineTable} depends on its counts, so they change through
 * that class alone.
 */
final class EngineSlot {
  /** Least loaded decode engine first. */
  static final Comparator<EngineSlot> BY_DECODE_LOAD =
      Comparator.comparingInt(EngineSlot::decodeLoad).thenComparing(slot -> slot.engine);

  private static final int URGENCIES = Urgency.values().length;

  final EngineId engine;
  final ZoneName zone;
  NetworkAddress address;
  boolean leaving;
  boolean drained;
  boolean reachable;
  boolean suspect;
  Optional<TenantName> failedTenant = Optional.empty();
  long failedNanos;
  Optional<EngineState> state = Optional.empty();
  Optional<EngineRole> drainingFor = Optional.empty();
  final long[] prefillTokens = new long[URGENCIES];
  int prefillRequests;
  int decodeRequests;
  long decodeTokens;
  int unknownRequests;
  long unknownPromptTokens;
  long lastReleaseNanos;
  long lastPrefilledNanos;
  final CountHistory history = new CountHistory();

  EngineSlot(EngineListing listing) {
    engine = listing.engine();
    zone = listing.zone();
    address = listing.address();
  }

  /** Least prompt tokens ahead of a request of this urgency first. */
  static Comparator<EngineSlot> byPrefillBacklog(Urgency urgency) {
    return Comparator.comparingLong((EngineSlot slot) -> slot.prefillBacklog(urgency))
        .thenComparing(slot -> slot.engine);
  }

  /** Prompt tokens that the engine computes before those of a newcomer of this urgency. */
  long prefillBacklog(Urgency urgency) {
    long tokens = unknownPromptTokens;
    for (int index = urgency.ordinal(); index < URGENCIES; index++) {
      tokens += prefillTokens[index];
    }
    return tokens;
  }

  long prefillBacklog() {
    return prefillBacklog(Urgency.BATCH);
  }

  /** Requests in the batch, or on their way there, unknown ones included. */
  int decodeLoad() {
    return decodeRequests + unknownRequests;
  }

  int inFlight() {
    return prefillRequests + decodeRequests;
  }

  EngineTarget target() {
    return new EngineTarget(engine, address);
  }

  long incarnation() {
    return state.map(EngineState::incarnation).orElse(0L);
  }

  boolean serves(EngineRole role) {
    return isPlaceable() && state.get().role() == role;
  }

  /** Whether it may serve again as soon as it answers: a request failed there, no more is known. */
  boolean mayServeSoon(EngineRole role) {
    return suspect && reachable && state.filter(told -> told.role() == role).isPresent();
  }

  boolean isPlaceable() {
    return state.isPresent()
        && state.get().activity() == EngineState.Activity.SERVING
        && !state.get().leaving()
        && !leaving
        && !drained
        && reachable
        && !suspect
        && drainingFor.isEmpty();
  }
}
