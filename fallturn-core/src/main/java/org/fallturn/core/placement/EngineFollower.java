package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.port.engine.CacheEvents;
import org.fallturn.core.port.engine.EngineState;
import org.fallturn.core.port.engine.LoadReport;

/**
 * Follows what engines say of themselves. A state or a load report only corrects the exact counts:
 * what an engine has beyond everything that was placed on it around the moment it describes is load
 * of unknown origin (an earlier leader's, or placed without a leader), and a stream that an idle
 * engine does not know is given up. A new incarnation has lost its work and its cache.
 */
final class EngineFollower {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long SUSPICION_NANOS = 2_000 * NANOS_PER_MILLI;
  private static final long COUNT_SLACK_NANOS = 500 * NANOS_PER_MILLI;

  private final PlacementParameters parameters;
  private final EngineTable engines;
  private final InFlightTable inFlight;
  private final PrefixIndex prefixes;

  EngineFollower(
      PlacementParameters parameters,
      EngineTable engines,
      InFlightTable inFlight,
      PrefixIndex prefixes) {
    this.parameters = parameters;
    this.engines = engines;
    this.inFlight = inFlight;
    this.prefixes = prefixes;
  }

  void onListing(List<EngineListing> listing) {
    Map<EngineId, EngineListing> listed = new HashMap<>();
    listing.forEach(entry -> listed.put(entry.engine(), entry));
    for (EngineSlot slot : new ArrayList<>(engines.all())) {
      if (!listed.containsKey(slot.engine)) {
        engines.remove(slot);
        prefixes.reset(slot.engine);
      }
    }
    listed.values().forEach(this::update);
  }

  private void update(EngineListing listing) {
    EngineSlot known = engines.find(listing.engine());
    if (known == null) {
      known = new EngineSlot(listing);
      engines.add(known);
    }
    EngineSlot slot = known;
    engines.change(
        slot,
        () -> {
          slot.address = listing.address();
          slot.leaving = listing.leaving();
          slot.drained = listing.drained();
        });
  }

  void onEngineState(EngineState state, long nowNanos) {
    EngineSlot slot = engines.find(state.engine());
    if (slot == null || isOutdated(slot, state)) {
      return;
    }
    if (slot.state.isPresent() && slot.incarnation() != state.incarnation()) {
      inFlight.releaseAllOn(slot, nowNanos);
      prefixes.reset(slot.engine);
    }
    int placed = slot.history.highestBetween(nowNanos - COUNT_SLACK_NANOS, nowNanos);
    engines.change(
        slot,
        () -> {
          slot.state = Optional.of(state);
          slot.reachable = true;
          slot.suspect = false;
          slot.unknownRequests = Math.max(0, state.running() - placed);
          if (slot.unknownRequests == 0) {
            slot.unknownPromptTokens = 0;
          }
        });
  }

  private static boolean isOutdated(EngineSlot slot, EngineState state) {
    return slot.state
        .filter(known -> known.incarnation() == state.incarnation())
        .filter(known -> known.fence().compareTo(state.fence()) > 0)
        .isPresent();
  }

  void onUnreachable(EngineId engine) {
    EngineSlot slot = engines.find(engine);
    if (slot != null) {
      engines.change(slot, () -> slot.reachable = false);
    }
  }

  /**
   * A request failed on the engine. When those of two tenants fail within a short time, it gets
   * nothing new until it has told its state; one tenant's requests alone never take it away from
   * the others.
   */
  void onFailed(EngineSlot slot, TenantName tenant, long nowNanos) {
    boolean recent = nowNanos - slot.failedNanos <= SUSPICION_NANOS;
    boolean otherTenant = slot.failedTenant.filter(former -> !former.equals(tenant)).isPresent();
    slot.failedTenant = Optional.of(tenant);
    slot.failedNanos = nowNanos;
    if (recent && otherTenant) {
      engines.change(slot, () -> slot.suspect = true);
    }
  }

  void onLoadReport(LoadReport report, long nowNanos) {
    EngineSlot slot = engines.find(report.engine());
    if (slot == null || slot.incarnation() != report.incarnation()) {
      return;
    }
    long madeNanos = nowNanos - report.ageMillis() * NANOS_PER_MILLI;
    int reported = report.runningRequests() + report.waitingRequests();
    int placed = slot.history.highestBetween(madeNanos - COUNT_SLACK_NANOS, madeNanos);
    int unknown = Math.max(0, reported - placed);
    long unknownPromptTokens =
        reported == 0 ? 0 : report.waitingPromptTokens() * unknown / reported;
    engines.change(
        slot,
        () -> {
          slot.unknownRequests = unknown;
          slot.unknownPromptTokens = unknownPromptTokens;
        });
    if (reported == 0) {
      releaseLeaked(slot, madeNanos, nowNanos);
    }
  }

  private void releaseLeaked(EngineSlot slot, long madeNanos, long nowNanos) {
    long before = madeNanos - parameters.leakedAfter().toNanos();
    List<PlacedRequest> leaked = new ArrayList<>();
    for (PlacedRequest placed : inFlight.all()) {
      boolean decodes = placed.prefill.isEmpty() && placed.choice.decode() == slot;
      if (decodes && placed.decodeStartNanos < before) {
        leaked.add(placed);
      }
    }
    leaked.forEach(placed -> inFlight.release(placed, nowNanos));
  }

  void onCacheEvents(EngineId engine, CacheEvents events) {
    EngineSlot slot = engines.find(engine);
    if (slot != null && slot.incarnation() == events.incarnation()) {
      prefixes.onEvents(engine, events);
    }
  }
}
