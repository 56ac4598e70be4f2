package org.fallturn.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.fallturn.core.domain.RequestId;

/**
 * The requests placed and not yet finished, and with them the exact counts of each engine. Each
 * part of a placement (prefill, decode) is added once and released once, whatever order messages
 * come in, so no count falls below zero; the request's deadline releases what no message did.
 */
final class InFlightTable {
  private final EngineTable engines;
  private final TenantShares shares;
  private final Map<RequestId, PlacedRequest> byId = new HashMap<>();
  private final TreeSet<PlacedRequest> byDeadline = new TreeSet<>(PlacedRequest.BY_DEADLINE);

  InFlightTable(EngineTable engines, TenantShares shares) {
    this.engines = engines;
    this.shares = shares;
  }

  int size() {
    return byId.size();
  }

  Optional<PlacedRequest> find(RequestId requestId) {
    return Optional.ofNullable(byId.get(requestId));
  }

  Collection<PlacedRequest> all() {
    return byId.values();
  }

  void add(PlacedRequest placed, long nowNanos) {
    byId.put(placed.request.requestId(), placed);
    byDeadline.add(placed);
    shares.placed(placed.request.tenant());
    placed.prefill.ifPresent(
        slot ->
            change(
                slot,
                nowNanos,
                () -> {
                  slot.prefillRequests++;
                  slot.prefillTokens[placed.request.urgency().ordinal()] +=
                      placed.choice.uncachedTokens();
                }));
    placed.decode.ifPresent(
        slot ->
            change(
                slot,
                nowNanos,
                () -> {
                  slot.decodeRequests++;
                  slot.decodeTokens += placed.request.expectedOutputTokens();
                }));
  }

  /** The prompt is computed; false when this was known. */
  boolean releasePrefill(PlacedRequest placed, long nowNanos) {
    if (placed.prefill.isEmpty()) {
      return false;
    }
    EngineSlot slot = placed.prefill.get();
    placed.prefill = Optional.empty();
    change(
        slot,
        nowNanos,
        () -> {
          slot.prefillRequests--;
          slot.prefillTokens[placed.request.urgency().ordinal()] -= placed.choice.uncachedTokens();
          slot.lastReleaseNanos = nowNanos;
        });
    return true;
  }

  /** Nothing of the request is left on any engine. */
  void release(PlacedRequest placed, long nowNanos) {
    if (!byId.remove(placed.request.requestId(), placed)) {
      return;
    }
    byDeadline.remove(placed);
    shares.released(placed.request.tenant());
    releasePrefill(placed, nowNanos);
    EngineSlot slot = placed.decode.orElseThrow();
    placed.decode = Optional.empty();
    change(
        slot,
        nowNanos,
        () -> {
          slot.decodeRequests--;
          slot.decodeTokens -= placed.request.expectedOutputTokens();
          slot.lastReleaseNanos = nowNanos;
        });
  }

  /** Releases and returns the requests whose deadline has passed. */
  List<PlacedRequest> releaseExpired(long nowNanos) {
    List<PlacedRequest> expired = new ArrayList<>();
    while (!byDeadline.isEmpty() && byDeadline.first().deadlineNanos < nowNanos) {
      PlacedRequest placed = byDeadline.first();
      release(placed, nowNanos);
      expired.add(placed);
    }
    return expired;
  }

  /** An engine lost all its work: releases every request that has a part of it there. */
  void releaseAllOn(EngineSlot slot, long nowNanos) {
    for (PlacedRequest placed : new ArrayList<>(byId.values())) {
      boolean prefills = placed.prefill.filter(slot::equals).isPresent();
      if (prefills || placed.choice.decode() == slot) {
        release(placed, nowNanos);
      }
    }
  }

  /** When the next deadline passes; empty when nothing is in flight. */
  Optional<Long> nextDeadlineNanos() {
    return byDeadline.isEmpty() ? Optional.empty() : Optional.of(byDeadline.first().deadlineNanos);
  }

  private void change(EngineSlot slot, long nowNanos, Runnable change) {
    if (engines.find(slot.engine) == slot) {
      engines.change(slot, change);
    } else {
      change.run();
    }
    slot.history.record(nowNanos, slot.inFlight());
  }
}
